import * as admission from '../admission';
import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as prefix from '../prefix';
import type * as candidateFilter from './candidate-filter';
import type * as event from './event';
import * as cachedPrefixLookup from './cached-prefix-lookup';
import * as standardFilters from './standard-filters';
import * as suspectPartition from './suspect-partition';
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

/**
 * The cheapest server that can take the request now. Undefined when there is none, or when waiting for a
 * busy server is cheaper: building the prefix elsewhere would cost the other requests more than the wait.
 */
export function choose(step: steps.Step, request: state.RequestState): Choice | undefined {
  const permitted = filterServers(
    standardFilters.PERMISSION_FILTERS,
    step,
    request,
    preferTrusted(step.pool(request.profile.service)),
  );
  const ready = filterServers(standardFilters.READINESS_FILTERS, step, request, permitted);
  if (ready.length === 0) {
    return undefined;
  }
  const context = contextOf(step, request);
  const probe = probeTarget(step, request, ready);
  if (probe !== undefined) {
    return evaluate(step, context, request, probe);
  }
  const evaluateAll = (servers: readonly state.ServerState[]) =>
    servers.map((server) => evaluate(step, context, request, server));
  const best = pickCheapest(step, evaluateAll(ready));
  const mayWait =
    request.attemptCount === 0 &&
    ready.length < permitted.length &&
    (isPatient(step, request) || isSaturated(ready.length, permitted.length));
  return mayWait &&
    evaluateAll(permitted).some((choice) => choice.cost < best.cost - MARGIN_MILLISECONDS)
    ? undefined
    : best;
}

/** The server that would be the best for a request if it were free. */
export interface Target {
  readonly server: state.ServerState;
  /** Whether it or enough others are free. */
  readonly ready: boolean;
}

/** Weighs all servers that a request may run at, free or not; undefined when there are none. */
export function findTarget(step: steps.Step, request: state.RequestState): Target | undefined {
  const permitted = filterServers(
    standardFilters.PERMISSION_FILTERS,
    step,
    request,
    preferTrusted(step.pool(request.profile.service)),
  );
  if (permitted.length === 0) {
    return undefined;
  }
  const context = contextOf(step, request);
  const [best] = permitted
    .map((server) => evaluate(step, context, request, server))
    .sort((left, right) => left.cost - right.cost);
  const ready = filterServers(standardFilters.READINESS_FILTERS, step, request, permitted);
  return {
    server: best.server,
    ready: ready.includes(best.server) || !isSaturated(ready.length, permitted.length),
  };
}

/** A request waits for a better server only during the first part of the time that it has. */
function isPatient(step: steps.Step, request: state.RequestState): boolean {
  const allowed = request.profile.firstTokenDeadline - request.arrivedAt;
  return step.at - request.arrivedAt < allowed * PATIENT_FRACTION;
}

/** Whether the request's fingerprint was in flight at a crash that it may have caused. */
export function isSuspect(step: steps.Step, request: state.RequestState): boolean {
  const { fingerprint } = request.profile;
  return (
    health.quarantineStatus(step.state.quarantine, fingerprint, step.at) !==
    health.QuarantineStatus.Clear
  );
}

/** The server at which all daemons expect the request's prefix, whichever one the request goes to. */
export function homeOf(
  step: steps.Step,
  request: state.RequestState,
): state.ServerState | undefined {
  const { ranks } = contextOf(step, request);
  const home = [...ranks.keys()].at(0);
  return home === undefined ? undefined : step.state.servers.get(home);
}

interface Context {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly ranks: ReadonlyMap<string, number>;
  readonly spread: number;
  /** Pieces of the prompt that other requests with the same anchor probably share. */
  readonly sharedPieces: number;
  readonly meanRequests: number;
  /** The newest weights of a server that could take requests. */
  readonly newestWeights?: string;
  readonly known: cachedPrefixLookup.CachedPrefixLookup;
  readonly request: placement.PlacementRequest;
}

/**
 * While most servers are busy, spilling to another server would fill it with prefill work that the cache
 * would have saved, and the hit rate would collapse when it is needed most.
 */
function isSaturated(ready: number, permitted: number): boolean {
  return ready < permitted * READY_FRACTION;
}

function filterServers(
  filters: readonly candidateFilter.CandidateFilter[],
  step: steps.Step,
  request: state.RequestState,
  servers: readonly state.ServerState[],
): readonly state.ServerState[] {
  const service = step.state.services.get(request.profile.service);
  const slots = service?.slotsPerRunner ?? 0;
  const prefillTokensPerSecond = prefillRate(service);
  const cacheTokens = cacheTokensOf(service);
  const suspect = isSuspect(step, request);
  const reserved = reservedServers(step, request, suspect);
  const minimumWeights = weightsFilter.minimumWeightsOf(service);
  const weightsExpected = weightsFilter.expectsWeights(step, request);
  return servers.filter((server) => {
    const pairing = {
      request,
      server,
      slots,
      prefillTokensPerSecond,
      cacheTokens,
      suspect,
      reserved,
      weightsExpected,
      minimumWeights,
    };
    return filters.every((filter) => filter.admits(pairing));
  });
}

/** A suspect keeps to the servers of its own daemon until it would wait too long for one of them. */
function reservedServers(
  step: steps.Step,
  request: state.RequestState,
  suspect: boolean,
): ReadonlySet<string> {
  return suspect && isPatient(step, request)
    ? suspectPartition.reservedForPeers(step.state, request.profile.service)
    : NO_SERVERS;
}

/** Servers that may be dead are used only when no other is left. */
function preferTrusted(servers: readonly state.ServerState[]): readonly state.ServerState[] {
  const trusted = servers.filter((server) => server.eligible && !server.record.suspected);
  return trusted.length > 0 ? trusted : servers;
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
    !admission.hasCredit(step.state.probeBudget)
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
  const anchorDepth = placement.affinityKeyDepth(profile.prefixChain.length);
  const anchor = profile.prefixChain[anchorDepth - 1] ?? '';
  const wide = profile.prefixChain[placement.outerPrefixDepth(profile.prefixChain.length) - 1];
  const serverIds = pool.map((server) => server.record.id);
  const ranked =
    wide === undefined
      ? placement.rankServers(anchor, serverIds)
      : placement.rankNested(
          wide,
          WIDE_RESERVE + placement.homeCount(step.state.prefixDemand, wide, pool.length, step.at),
          anchor,
          serverIds,
        );
  const total = pool.reduce((sum, server) => sum + placement.totalLoad(server.load).requests, 0);
  return {
    slots: service?.slotsPerRunner ?? 1,
    cacheTokens: cacheTokensOf(service),
    prefillTokensPerSecond: prefillRate(service),
    ranks: new Map(ranked.map((serverId, rank) => [serverId, rank])),
    spread: homes(step, pool, ranked, anchor, total / Math.max(1, pool.length)),
    sharedPieces: Math.max(anchorDepth, profile.prefixChain.length - 1),
    meanRequests: total / Math.max(1, pool.length),
    newestWeights: newestWeights(pool),
    known: new cachedPrefixLookup.CachedPrefixLookup(step, profile),
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

/** The part of a server's memory that its requests hold or will hold. */
function memoryUse({ cacheTokens }: Context, { load }: state.ServerState): number {
  return (placement.totalLoad(load).memoryTokens ?? 0) / cacheTokens;
}

/** Versions that are numbers are compared as numbers; others have no order. */
function newestWeights(pool: readonly state.ServerState[]): string | undefined {
  const versions = pool
    .filter(({ record }) => record.loading !== true)
    .flatMap(({ record }) => Number(record.weightsVersion ?? NaN))
    .filter((version) => !Number.isNaN(version));
  return versions.length === 0 ? undefined : String(Math.max(...versions));
}

function isOutdated({ record }: state.ServerState, newest: string | undefined): boolean {
  const known = Number(record.weightsVersion ?? NaN);
  return newest !== undefined && known < Number(newest);
}

function prefillRate(service: configuration.ServiceDocument | undefined): number {
  return service?.type === configuration.ServiceType.ModelEngine
    ? service.prefillTokensPerSecond
    : PLAIN_TOKENS_PER_SECOND;
}

function cacheTokensOf(service: configuration.ServiceDocument | undefined): number {
  return service?.type === configuration.ServiceType.ModelEngine
    ? (service.cacheTokensPerRunner ?? Infinity)
    : Infinity;
}

function evaluate(
  step: steps.Step,
  context: Context,
  request: state.RequestState,
  server: state.ServerState,
): Choice {
  const serverId = server.record.id;
  const cachedPieces = context.known.cachedBlocks(server);
  const cachedTokens = Math.min(
    request.profile.promptTokens,
    tokensOf(request.profile, cachedPieces),
  );
  const candidate: placement.Candidate = {
    serverId,
    zone: server.record.zone,
    region: server.record.region,
    load: server.load,
    slots: context.slots,
    memoryUse: memoryUse(context, server),
    prefillTokensPerSecond: context.prefillTokensPerSecond,
    cachedTokens: Math.max(cachedTokens, assumedTokens(context, request, serverId)),
    rank: context.ranks.get(serverId) ?? context.ranks.size,
    homeCount: context.spread,
    meanRequests: context.meanRequests,
    slowdown: step.state.slowdowns.get(serverId, 1),
    suspected: server.record.suspected,
    runsSuspect: server.suspects > 0,
    outdated: isOutdated(server, context.newestWeights),
  };
  const waiting = placement.totalLoad(server.load).prefillTokens;
  const uncached = request.profile.promptTokens - cachedTokens;
  return {
    server,
    cachedTokens,
    expectedMilliseconds: ((waiting + uncached) / context.prefillTokensPerSecond) * 1_000,
    cost: placement.totalCost(placement.STANDARD_RULES, context.request, candidate),
  };
}

/**
 * How many servers of the rendezvous order are homes of the prefix now. One that is in demand gets the
 * next server too while its homes have more than their share of the load; the copy pays for itself.
 */
function homes(
  step: steps.Step,
  pool: readonly state.ServerState[],
  ranked: readonly string[],
  anchor: string,
  meanRequests: number,
): number {
  if (anchor === '') {
    return pool.length;
  }
  const spread = placement.homeCount(step.state.prefixDemand, anchor, pool.length, step.at);
  const limit = Math.min(
    ranked.length,
    spread + placement.extraHomes(step.state.prefixDemand, anchor, step.at),
  );
  const bound = placement.loadBound(meanRequests);
  const firstFree = ranked.findIndex((serverId, rank) => {
    const server = step.state.servers.get(serverId)!;
    return rank >= spread - 1 && placement.totalLoad(server.load).requests < bound;
  });
  return firstFree < 0 ? limit : Math.min(limit, Math.max(spread, firstFree + 1));
}

/** Tokens in the first parts of a prompt's chain. */
export function tokensOf(profile: event.RequestProfile, pieces: number): number {
  return profile.chainTokens === undefined || pieces === 0
    ? pieces * prefix.TOKENS_PER_BLOCK
    : profile.chainTokens[Math.min(pieces, profile.chainTokens.length) - 1];
}

/** Other daemons send the prefix to its homes too, so that these probably have it even if it is not known. */
function assumedTokens(context: Context, request: state.RequestState, serverId: string): number {
  const rank = context.ranks.get(serverId) ?? context.ranks.size;
  return rank < context.spread && request.profile.prefixChain.length > 0
    ? tokensOf(request.profile, context.sharedPieces) * HOME_PROBABILITY
    : 0;
}

/** Equal costs are decided by chance, so that daemons do not all pick the same server. */
function pickCheapest(step: steps.Step, choices: readonly Choice[]): Choice {
  const cheapest = Math.min(...choices.map((choice) => choice.cost));
  const best = choices.filter((choice) => choice.cost <= cheapest + TIE_MILLISECONDS);
  return best.length === 1 ? best[0] : best[Math.floor(step.random() * best.length)];
}

const NO_SERVERS: ReadonlySet<string> = new Set();

const TIE_MILLISECONDS = 1;
/** A wait must save at least this much. */
const MARGIN_MILLISECONDS = 50;
/** Part of the time until the deadline for which a request waits for a better server. */
const PATIENT_FRACTION = 0.4;
/** With fewer servers ready than this, the service is saturated. */
const READY_FRACTION = 0.34;
const PROBE_INTERVAL_MILLISECONDS = 5_000;
/** Plain services have no prompt; any positive number gives a prefill cost of 0. */
const PLAIN_TOKENS_PER_SECOND = 1;
/** Most requests find their prefix at its home; the rest are the first ones of a session. */
const HOME_PROBABILITY = 0.9;

/** Servers that a wide prefix has beyond its demand, so that its deep prefixes can spread a little. */
const WIDE_RESERVE = 1;
