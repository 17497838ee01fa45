import * as admission from '../admission';
import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as prefix from '../prefix';
import * as standardFilters from './standard-filters';
import type * as state from './state';
import type * as steps from './step';
import * as weightsFilter from './weights-filter';

/** A server for a request, and what is expected of it. */
export interface Choice {
  readonly server: state.ServerState;
  readonly cachedTokens: number;
  /** Expected time to the first piece. */
  readonly expectedMilliseconds: number;
  readonly cost: number;
}

/** The cheapest server that all filters admit; undefined when there is none. */
export function choose(step: steps.Step, request: state.RequestState): Choice | undefined {
  const admitted = admittedServers(step, request);
  if (admitted.length === 0) {
    return undefined;
  }
  const probe = probeTarget(step, request, admitted);
  const context = contextOf(step, request);
  const choices = (probe === undefined ? admitted : [probe]).map((server) =>
    evaluate(step, context, request, server),
  );
  return pickCheapest(step, choices);
}

/** Whether the request's fingerprint was in flight at a crash that it may have caused. */
export function isSuspect(step: steps.Step, request: state.RequestState): boolean {
  const { fingerprint } = request.profile;
  return health.standing(step.state.quarantine, fingerprint, step.at) !== health.Standing.Clear;
}

interface Context {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly ranks: ReadonlyMap<string, number>;
  readonly spread: number;
  readonly meanRequests: number;
  readonly request: placement.PlacementRequest;
}

function admittedServers(
  step: steps.Step,
  request: state.RequestState,
): readonly state.ServerState[] {
  const slots = step.state.services.get(request.profile.service)?.slotsPerRunner ?? 0;
  const suspect = isSuspect(step, request);
  const weightsExpected = weightsFilter.expectsWeights(step, request);
  const admitted = step
    .pool(request.profile.service)
    .filter((server) =>
      standardFilters.STANDARD_FILTERS.every((filter) =>
        filter.admits({ request, server, slots, suspect, weightsExpected }),
      ),
    );
  const trusted = admitted.filter((server) => !server.record.suspected);
  return trusted.length > 0 ? trusted : admitted;
}

/** A straggler that a short request may try, so that its recovery is noticed. */
function probeTarget(
  step: steps.Step,
  request: state.RequestState,
  admitted: readonly state.ServerState[],
): state.ServerState | undefined {
  if (
    step.state.slowdowns.isEmpty() ||
    !request.profile.idempotent ||
    request.lane !== admission.Lane.Short ||
    request.attemptCount > 0 ||
    !admission.affordable(step.state.probeBudget)
  ) {
    return undefined;
  }
  const target = admitted.find(
    (server) =>
      step.state.slowdowns.has(server.record.id) &&
      server.load.own.requests === 0 &&
      step.at - server.probedAt >= PROBE_INTERVAL_MILLISECONDS,
  );
  if (target !== undefined) {
    step.change({ probeBudget: admission.spend(step.state.probeBudget) });
    step.setServer({ ...target, probedAt: step.at });
  }
  return target && step.state.servers.get(target.record.id);
}

function contextOf(step: steps.Step, request: state.RequestState): Context {
  const { profile } = request;
  const service = step.state.services.get(profile.service);
  const pool = step.pool(profile.service).filter((server) => server.eligible);
  const anchor = placement.anchorOf(profile.prefixChain);
  const ranked = placement.rankServers(
    anchor,
    pool.map((server) => server.record.id),
  );
  const total = pool.reduce((sum, server) => sum + placement.totalWork(server.load).requests, 0);
  return {
    slots: service?.slotsPerRunner ?? 1,
    prefillTokensPerSecond:
      service?.type === configuration.ServiceType.ModelEngine
        ? service.prefillTokensPerSecond
        : PLAIN_TOKENS_PER_SECOND,
    ranks: new Map(ranked.map((serverId, rank) => [serverId, rank])),
    spread:
      anchor === '' ? pool.length : placement.spread(step.state.heat, anchor, pool.length, step.at),
    meanRequests: total / Math.max(1, pool.length),
    request: {
      promptTokens: profile.promptTokens,
      chain: profile.prefixChain,
      zone: step.state.options.zone,
      region: step.state.options.region,
      suspect: isSuspect(step, request),
      failedServers: request.failedServers,
    },
  };
}

function evaluate(
  step: steps.Step,
  context: Context,
  request: state.RequestState,
  server: state.ServerState,
): Choice {
  const serverId = server.record.id;
  const cachedPieces = placement.cachedPieces(
    step.state.index,
    serverId,
    server.incarnation,
    request.profile.prefixChain,
    step.at,
  );
  const cachedTokens = Math.min(
    request.profile.promptTokens,
    cachedPieces * prefix.TOKENS_PER_PIECE,
  );
  const candidate: placement.Candidate = {
    serverId,
    zone: server.record.zone,
    region: server.record.region,
    load: server.load,
    slots: context.slots,
    prefillTokensPerSecond: context.prefillTokensPerSecond,
    cachedTokens,
    rank: context.ranks.get(serverId) ?? context.ranks.size,
    spread: context.spread,
    meanRequests: context.meanRequests,
    slowdown: step.state.slowdowns.get(serverId, 1),
    suspected: server.record.suspected,
    runsSuspect: server.suspects > 0,
  };
  const waiting = placement.totalWork(server.load).prefillTokens;
  const uncached = request.profile.promptTokens - cachedTokens;
  return {
    server,
    cachedTokens,
    expectedMilliseconds: ((waiting + uncached) / context.prefillTokensPerSecond) * 1_000,
    cost: placement.totalCost(placement.STANDARD_RULES, context.request, candidate),
  };
}

/** Equal costs are decided by chance, so that daemons do not all pick the same server. */
function pickCheapest(step: steps.Step, choices: readonly Choice[]): Choice {
  const cheapest = Math.min(...choices.map((choice) => choice.cost));
  const best = choices.filter((choice) => choice.cost <= cheapest + TIE_MILLISECONDS);
  return best.length === 1 ? best[0] : best[Math.floor(step.random() * best.length)];
}

const TIE_MILLISECONDS = 1;
const PROBE_INTERVAL_MILLISECONDS = 5_000;
/** Plain services have no prompt; any positive number gives a prefill cost of 0. */
const PLAIN_TOKENS_PER_SECOND = 1;
