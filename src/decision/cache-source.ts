import * as serverSelection from './server-selection';
import * as cachedPrefixLookup from './cached-prefix-lookup';
import type * as state from './state';
import type * as steps from './step';

/**
 * The server from which the chosen server copies cached blocks of the prompt. Undefined when no other server
 * probably has many more of them. Copying a prefix takes a tenth of the time of its prefill and does not
 * delay the other requests of the chosen server.
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
  const cacheLookup = cachedPrefixLookup.lookupOf(step, profile);
  const candidates = step
    .pool(profile.service)
    .filter((server) => isUsableSource(server, choice.server))
    .map((server) => ({
      server,
      tokens: serverSelection.tokensOf(profile, cacheLookup.cachedBlocks(server)),
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

/** The home server of the prefix, whose cache the requests of other daemons have probably filled. */
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
  return home !== undefined && isUsableSource(home, choice.server) ? home : undefined;
}

/** Blocks computed with other or unknown weights are invalid, and a server that may be dead delays the request. */
function isUsableSource(server: state.ServerState, chosen: state.ServerState): boolean {
  return (
    server !== chosen &&
    server.eligible &&
    !server.record.suspected &&
    server.record.loading !== true &&
    server.record.weightsVersion !== undefined &&
    server.record.weightsVersion === chosen.record.weightsVersion
  );
}

/** The prefill of this many tokens takes 3 ms, about as long as a request for them to another server. */
const MINIMUM_GAIN_TOKENS = 128;
