import * as placement from '../placement';
import type * as state from './state';
import type * as steps from './step';

/** The servers of a service that may get new requests. */
export interface EligiblePool {
  readonly servers: readonly state.ServerState[];
  readonly serverIds: readonly string[];
  readonly meanRequests: number;
  readonly newestWeights?: string;
}

export function eligiblePool(step: steps.Step, service: string): EligiblePool {
  const pool = step.pool(service);
  return step.memoize(`eligible/${service}`, [pool], () => {
    const servers = pool.filter((server) => server.eligible);
    const total = servers.reduce(
      (sum, server) => sum + placement.totalLoad(server.load).requests,
      0,
    );
    return {
      servers,
      serverIds: servers.map((server) => server.record.id),
      meanRequests: total / Math.max(1, servers.length),
      newestWeights: newestWeights(servers),
    };
  });
}

/** Number of home servers of a prefix from the demand of all daemons, or of this one while that is unknown. */
function usualHomes(step: steps.Step, key: string, servers: number): number {
  const { fleetDemand, prefixDemand } = step.state;
  return fleetDemand !== undefined && step.at - fleetDemand.at < FLEET_DEMAND_MILLISECONDS
    ? placement.fleetHomeCount(fleetDemand, key, servers)
    : placement.homeCount(prefixDemand, key, servers, step.at);
}

/** The servers in the order in which they become homes of the request's prefix. */
export interface HomeOrder {
  readonly ranked: readonly string[];
  readonly ranks: ReadonlyMap<string, number>;
}

export function homeOrder(
  step: steps.Step,
  { profile }: state.RequestState,
  affinityKey: string,
): HomeOrder {
  const { prefixChain } = profile;
  const { serverIds } = eligiblePool(step, profile.service);
  const outerPrefix = prefixChain[placement.outerPrefixDepth(prefixChain.length) - 1];
  const outerHomes =
    outerPrefix === undefined
      ? 0
      : OUTER_PREFIX_RESERVE + usualHomes(step, outerPrefix, serverIds.length);
  return step.memoize(`homes/${profile.requestId}`, [serverIds, outerHomes], () => {
    const ranked =
      outerPrefix === undefined
        ? placement.rankServers(affinityKey, serverIds)
        : placement.rankNested(outerPrefix, outerHomes, affinityKey, serverIds);
    return { ranked, ranks: new Map(ranked.map((serverId, rank) => [serverId, rank])) };
  });
}

/**
 * The number of servers at the start of the rendezvous order that are homes of the prefix now. A prefix in
 * demand gets further homes while its usual homes have more than their share of the load, because the saved
 * wait exceeds the cost of the copy.
 */
export function currentHomeCount(
  step: steps.Step,
  { servers, meanRequests }: EligiblePool,
  ranked: readonly string[],
  affinityKey: string,
): number {
  if (affinityKey === '') {
    return servers.length;
  }
  const usualHomeCount = usualHomes(step, affinityKey, servers.length);
  const limit = Math.min(
    ranked.length,
    usualHomeCount + placement.extraHomes(step.state.prefixDemand, affinityKey, step.at),
  );
  const bound = placement.loadBound(meanRequests);
  const firstFree = ranked.findIndex((serverId, rank) => {
    const server = step.state.servers.get(serverId)!;
    return rank >= usualHomeCount - 1 && placement.totalLoad(server.load).requests < bound;
  });
  return firstFree < 0 ? limit : Math.min(limit, Math.max(usualHomeCount, firstFree + 1));
}

/** Versions that are numbers are compared as numbers; others have no order. */
function newestWeights(pool: readonly state.ServerState[]): string | undefined {
  const versions = pool
    .filter(({ record }) => record.loading !== true)
    .flatMap(({ record }) => Number(record.weightsVersion ?? NaN))
    .filter((version) => !Number.isNaN(version));
  return versions.length === 0 ? undefined : String(Math.max(...versions));
}

/** Reports come about once a second; without one for this long, this daemon has lost the others. */
const FLEET_DEMAND_MILLISECONDS = 5_000;
/** Servers that an outer prefix has beyond its demand, so that its inner prefixes have several homes. */
const OUTER_PREFIX_RESERVE = 1;
