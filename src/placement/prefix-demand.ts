import * as immutable from 'immutable';

/** Recent server time and number of requests of one key, with exponential decay. */
export interface Demand {
  readonly milliseconds: number;
  readonly requests: number;
  readonly at: number;
}

/** Recent demand by affinity key or outer prefix, and the total of all requests. */
export interface PrefixDemand {
  readonly total: Demand;
  readonly keys: immutable.Map<string, Demand>;
}

const NO_DEMAND: Demand = { milliseconds: 0, requests: 0, at: 0 };

export const EMPTY_PREFIX_DEMAND: PrefixDemand = {
  total: NO_DEMAND,
  keys: immutable.Map<string, Demand>(),
};

/**
 * Adds the estimated server time in milliseconds of a request with these keys.
 *
 * @example
 * const increased = addDemand(prefixDemand, [affinityKey], 800, at);
 */
export function addDemand(
  prefixDemand: PrefixDemand,
  keys: readonly string[],
  milliseconds: number,
  at: number,
): PrefixDemand {
  const add = (demand: Demand) => ({
    milliseconds: demand.milliseconds * decay(demand, at) + milliseconds,
    requests: demand.requests * decay(demand, at) + 1,
    at,
  });
  return {
    total: add(prefixDemand.total),
    keys: keys.reduce((map, key) => map.update(key, NO_DEMAND, add), prefixDemand.keys),
  };
}

/**
 * The number of home servers that a prefix should have: its share of the daemon's recent demand, times the
 * number of servers, times a headroom. Daemons get similar mixes of requests, so that they agree on the
 * number without messages.
 *
 * @example
 * homeCount(prefixDemand, rareKey, 8, at); // 1
 */
export function homeCount(
  prefixDemand: PrefixDemand,
  key: string,
  servers: number,
  at: number,
): number {
  const total = prefixDemand.total.milliseconds * decay(prefixDemand.total, at);
  const demand = prefixDemand.keys.get(key);
  if (demand === undefined) {
    return 1;
  }
  return homesForDemand(recent(demand, at), total, servers);
}

/** The demand that counts at a later time. */
export function recent(
  demand: Demand,
  at: number,
): { readonly milliseconds: number; readonly requests: number } {
  const factor = decay(demand, at);
  return { milliseconds: demand.milliseconds * factor, requests: demand.requests * factor };
}

/** The number of home servers for a part of all demand, in milliseconds of server time. */
export function homesForDemand(
  { milliseconds, requests }: Pick<Demand, 'milliseconds' | 'requests'>,
  totalMilliseconds: number,
  servers: number,
): number {
  if (totalMilliseconds < MINIMUM_DEMAND_MILLISECONDS) {
    return 1;
  }
  // The standard deviation of a count is about its square root; random variation must not add home servers.
  const confidence = Math.max(0, 1 - STANDARD_DEVIATIONS / Math.sqrt(requests));
  const share = milliseconds / totalMilliseconds;
  return Math.max(1, Math.min(servers, Math.ceil(share * confidence * servers * HEADROOM_FACTOR)));
}

/** The number of further homes that a prefix in demand may have while its usual homes are overloaded. */
export function extraHomes(prefixDemand: PrefixDemand, key: string, at: number): number {
  const demand = prefixDemand.keys.get(key);
  const requests = demand === undefined ? 0 : demand.requests * decay(demand, at);
  return requests >= MINIMUM_COPY_REQUESTS ? EXTRA_HOMES : 0;
}

/** Removes keys without recent demand. */
export function pruneDemand(prefixDemand: PrefixDemand, at: number): PrefixDemand {
  const keys = prefixDemand.keys.filter(
    (demand) => demand.milliseconds * decay(demand, at) >= MINIMUM_KEY_DEMAND_MILLISECONDS,
  );
  return keys.size === prefixDemand.keys.size ? prefixDemand : { ...prefixDemand, keys };
}

function decay(demand: Demand, at: number): number {
  return 0.5 ** ((at - demand.at) / HALF_LIFE_MILLISECONDS);
}

/** Prefixes in high demand change within seconds, but a share is reliable only after a few requests. */
const HALF_LIFE_MILLISECONDS = 4_000;
const MINIMUM_DEMAND_MILLISECONDS = 8_000;
/** Below 1.5, a prefix with the demand of exactly one server would queue at its only home. */
const HEADROOM_FACTOR = 1.5;
const STANDARD_DEVIATIONS = 1.5;
/** With fewer recent requests than this, a copy costs more than it saves. */
const MINIMUM_COPY_REQUESTS = 2.5;
const EXTRA_HOMES = 2;
const MINIMUM_KEY_DEMAND_MILLISECONDS = 5;
