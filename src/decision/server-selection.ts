import * as admission from '../admission';
import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as prefix from '../prefix';
import type * as candidateFilter from './candidate-filter';
import type * as event from './event';
import * as homeOrders from './home-order';
import * as cachedPrefixLookup from './cached-prefix-lookup';
import * as refusalLimits from './refusal-limits';
import * as requestLimits from './request-limits';
import * as serverPauses from './server-pauses';
import * as standardFilters from './standard-filters';
import * as suspectPartition from './suspect-partition';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';
import * as suspicion from './suspicion';
import * as weightsFilter from './weights-filter';

/** The server selected for a request, with the expected cache hit, time and cost. */
export interface Choice {
  readonly server: state.ServerState;
  readonly cachedTokens: number;
  /** Expected milliseconds from the dispatch to the first piece. */
  readonly expectedMilliseconds: number;
  readonly cost: number;
}

/**
 * The cheapest server with room for the request now. Undefined when there is none, or when it is cheaper
 * to wait for a busy server, because the prefill of the prefix elsewhere would delay other requests longer.
 *
 * @param servers the servers to choose from
 */
export function choose(
  step: steps.Step,
  request: state.RequestState,
  servers = softwareVersions.compatibleServers(step, request),
): Choice | undefined {
  const permitted = filterServers(
    standardFilters.PERMISSION_FILTERS,
    step,
    request,
    usableServers(step, servers),
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
  const evaluateAll = (candidates: readonly state.ServerState[]) =>
    candidates.map((server) => evaluate(step, context, request, server));
  const best = pickCheapest(step, evaluateAll(ready));
  const mayWait =
    request.attemptCount === 0 &&
    ready.length < permitted.length &&
    (mayWaitForBetterServer(step, request) || isSaturated(ready.length, permitted.length));
  return mayWait &&
    evaluateAll(permitted).some((choice) => choice.cost < best.cost - MINIMUM_SAVING_MILLISECONDS)
    ? undefined
    : best;
}

/** The cheapest server for a request, whether or not it has a free slot. */
export interface Target {
  readonly server: state.ServerState;
  /** Whether this server or enough others have free slots. */
  readonly ready: boolean;
}

/** The cheapest of all servers that a request may run at; undefined when there are none. */
export function findTarget(step: steps.Step, request: state.RequestState): Target | undefined {
  const permitted = filterServers(
    standardFilters.PERMISSION_FILTERS,
    step,
    request,
    usableServers(step, softwareVersions.compatibleServers(step, request)),
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

/** A request waits for a better server only during the first part of the time until its deadline. */
function mayWaitForBetterServer(step: steps.Step, request: state.RequestState): boolean {
  const allowed = request.profile.firstTokenDeadline - request.arrivedAt;
  return step.at - request.arrivedAt < allowed * WAIT_FRACTION;
}

/** Whether the request's fingerprint was in flight at a crash that it may have caused. */
export function isSuspect(step: steps.Step, request: state.RequestState): boolean {
  return suspicion.statusOf(step, request.profile) !== health.QuarantineStatus.Clear;
}

/** The home server of the request's prefix, the same for all daemons. */
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
  readonly homeCount: number;
  /** Blocks of the prompt that other requests with the same affinity key probably share. */
  readonly sharedBlocks: number;
  readonly meanRequests: number;
  /** The newest weights version among the servers that do not load weights. */
  readonly newestWeights?: string;
  readonly cacheLookup: cachedPrefixLookup.CachedPrefixLookup;
  readonly request: placement.PlacementRequest;
}

/**
 * While most servers are busy, a request that moves to another server causes prefill that a cache hit would
 * save, and the hit rate drops when the service needs it most.
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
      throttled:
        requestLimits.isThrottled(step, server.record.id) ||
        refusalLimits.isExcluded(step, server, slots),
      hasRoom: refusalLimits.hasRoom(step, server, slots),
      weightsExpected,
      minimumWeights,
    };
    return filters.every((filter) => filter.admits(pairing));
  });
}

/** A suspect uses the servers of its daemon's suspect partition until it has waited too long for them. */
function reservedServers(
  step: steps.Step,
  request: state.RequestState,
  suspect: boolean,
): ReadonlySet<string> {
  return suspect && mayWaitForBetterServer(step, request)
    ? suspectPartition.reservedForPeers(step.state, request.profile.service)
    : NO_SERVERS;
}

/** One that may be dead is used while all others pause, so that the pauses come first. */
function usableServers(
  step: steps.Step,
  servers: readonly state.ServerState[],
): readonly state.ServerState[] {
  return preferUnsuspected(serverPauses.withoutPaused(step, servers));
}

/** Servers that may be dead are used only when no other is left. */
function preferUnsuspected(servers: readonly state.ServerState[]): readonly state.ServerState[] {
  const unsuspected = servers.filter((server) => server.eligible && !server.record.suspected);
  return unsuspected.length > 0 ? unsuspected : servers;
}

/** A straggler to which a short request is sent to detect whether it has recovered. */
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
  const pool = homeOrders.eligiblePool(step, profile.service);
  const keyDepth = placement.affinityKeyDepth(profile.prefixChain.length);
  const affinityKey = profile.prefixChain[keyDepth - 1] ?? '';
  const { ranked, ranks } = homeOrders.homeOrder(step, request, affinityKey);
  return {
    slots: service?.slotsPerRunner ?? 1,
    cacheTokens: cacheTokensOf(service),
    prefillTokensPerSecond: prefillRate(service),
    ranks,
    homeCount: homeOrders.currentHomeCount(step, pool, ranked, affinityKey),
    sharedBlocks: Math.max(keyDepth, profile.prefixChain.length - 1),
    meanRequests: pool.meanRequests,
    newestWeights: pool.newestWeights,
    cacheLookup: cachedPrefixLookup.lookupOf(step, profile),
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

/** Fraction of a server's memory that its requests hold or will hold. */
function memoryUse({ cacheTokens }: Context, { load }: state.ServerState): number {
  return (placement.totalLoad(load).memoryTokens ?? 0) / cacheTokens;
}

function isOutdated({ record }: state.ServerState, newest: string | undefined): boolean {
  const version = Number(record.weightsVersion ?? NaN);
  return newest !== undefined && version < Number(newest);
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
  const cachedBlocks = context.cacheLookup.cachedBlocks(server);
  const cachedTokens = Math.min(
    request.profile.promptTokens,
    tokensOf(request.profile, cachedBlocks),
  );
  const candidate: placement.Candidate = {
    serverId,
    zone: server.record.zone,
    region: server.record.region,
    load: server.load,
    slots: context.slots,
    memoryUse: memoryUse(context, server),
    prefillTokensPerSecond: context.prefillTokensPerSecond,
    cachedTokens: Math.max(cachedTokens, assumedCachedTokens(context, request, serverId)),
    rank: context.ranks.get(serverId) ?? context.ranks.size,
    homeCount: context.homeCount,
    meanRequests: context.meanRequests,
    slowdown: step.state.slowdowns.get(serverId, 1),
    suspected: server.record.suspected,
    runsSuspect: server.suspectAttempts > 0,
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

/** Tokens in the first `blocks` blocks of a prompt. */
export function tokensOf(profile: event.RequestProfile, blocks: number): number {
  return profile.chainTokens === undefined || blocks === 0
    ? blocks * prefix.TOKENS_PER_BLOCK
    : profile.chainTokens[Math.min(blocks, profile.chainTokens.length) - 1];
}

/** Other daemons send the prefix to its homes too, which therefore probably have it cached. */
function assumedCachedTokens(
  context: Context,
  request: state.RequestState,
  serverId: string,
): number {
  const rank = context.ranks.get(serverId) ?? context.ranks.size;
  return rank < context.homeCount && request.profile.prefixChain.length > 0
    ? tokensOf(request.profile, context.sharedBlocks) * HOME_PROBABILITY
    : 0;
}

/** Picks at random among equal costs, so that the daemons do not all pick the same server. */
function pickCheapest(step: steps.Step, choices: readonly Choice[]): Choice {
  const cheapest = Math.min(...choices.map((choice) => choice.cost));
  const best = choices.filter((choice) => choice.cost <= cheapest + TIE_MILLISECONDS);
  return best.length === 1 ? best[0] : best[Math.floor(step.random() * best.length)];
}

const NO_SERVERS: ReadonlySet<string> = new Set();

const TIE_MILLISECONDS = 1;
const MINIMUM_SAVING_MILLISECONDS = 50;
/** Fraction of the time until the deadline for which a request waits for a better server. */
const WAIT_FRACTION = 0.4;
/** With a smaller fraction of servers ready than this, the service is saturated. */
const READY_FRACTION = 0.34;
const PROBE_INTERVAL_MILLISECONDS = 5_000;
/** Plain services have no prompt; any positive number gives a prefill cost of 0. */
const PLAIN_TOKENS_PER_SECOND = 1;
/** Most requests find their prefix at its home; the rest are the first ones of a session. */
const HOME_PROBABILITY = 0.9;
