import * as serverSelection from './server-selection';
import * as cachedPrefixLookup from './cached-prefix-lookup';
import type * as state from './state';
import type * as steps from './step';

/**
 * The server from which to copy the prompt's cached parts, for requests that run away from the home of their
 * prefix: copying a prefix takes a tenth of the time of reading it again and costs the other requests of
 * the server nothing. Undefined when no other server probably has much more of it than the chosen one.
 */
export function findSource(
  step: steps.Step,
  request: state.RequestState,
  choice: serverSelection.Choice,
): string | undefined {
  const { profile } = request;
  if (profile.chainTokens === undefined || profile.prefixChain.length < 2) {
    return undefined;
  }
  const known = new cachedPrefixLookup.CachedPrefixLookup(step, profile);
  const candidates = step
    .pool(profile.service)
    .filter((server) => mayGive(server, choice.server))
    .map((server) => ({
      server,
      tokens: serverSelection.tokensOf(profile, known.cachedBlocks(server)),
      isNear: server.record.region === choice.server.record.region,
    }))
    .sort(
      (left, right) => right.tokens - left.tokens || Number(right.isNear) - Number(left.isNear),
    );
  const [best] = candidates;
  const gain = (best?.tokens ?? 0) - choice.cachedTokens;
  return gain >= MINIMUM_GAIN_TOKENS
    ? best?.server.record.id
    : homeSource(step, request, choice)?.record.id;
}

/** This daemon sees a part of the requests; those of the others have probably filled the home. */
function homeSource(
  step: steps.Step,
  request: state.RequestState,
  choice: serverSelection.Choice,
): state.ServerState | undefined {
  const shared = serverSelection.tokensOf(request.profile, request.profile.prefixChain.length - 1);
  if (shared - choice.cachedTokens < MINIMUM_GAIN_TOKENS) {
    return undefined;
  }
  const home = serverSelection.homeOf(step, request);
  return home !== undefined && mayGive(home, choice.server) ? home : undefined;
}

/** Parts that were read with other weights must not be used, and a server that may be dead only delays. */
function mayGive(server: state.ServerState, chosen: state.ServerState): boolean {
  return (
    server !== chosen &&
    server.eligible &&
    !server.record.suspected &&
    server.record.loading !== true &&
    server.record.weightsVersion === chosen.record.weightsVersion
  );
}

/** Reading this many tokens takes 3 ms, about as long as asking another server for them. */
const MINIMUM_GAIN_TOKENS = 128;
