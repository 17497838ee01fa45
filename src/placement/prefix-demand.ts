import * as immutable from 'immutable';

/** Recent demand of one key, decaying exponentially. */
interface Demand {
  readonly milliseconds: number;
  readonly requests: number;
  readonly at: number;
}

/** Recent demand by anchor, and over all of them. */
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
 * Adds the server time that a request with this anchor will take.
 *
 * @example
 * const warmer = addHeat(heat, [anchor], 800, at);
 */
export function addDemand(
  heat: PrefixDemand,
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
    total: add(heat.total),
    keys: keys.reduce((map, key) => map.update(key, NO_DEMAND, add), heat.keys),
  };
}

/**
 * How many servers should keep a prefix: its share of the daemon's recent demand, times the servers, with
 * room to spare. Daemons see similar mixes, so that they agree without talking to each other.
 *
 * @example
 * spread(heat, coldAnchor, 8, at); // 1
 */
export function homeCount(heat: PrefixDemand, key: string, servers: number, at: number): number {
  const total = heat.total.milliseconds * decay(heat.total, at);
  const demand = heat.keys.get(key);
  if (demand === undefined || total < MINIMUM_DEMAND_MILLISECONDS) {
    return 1;
  }
  // A count of few requests is uncertain by about its root; a prefix is not spread by chance.
  const requests = demand.requests * decay(demand, at);
  const certain = Math.max(0, 1 - DEVIATIONS / Math.sqrt(requests));
  const share = (demand.milliseconds * decay(demand, at)) / total;
  return Math.max(1, Math.min(servers, Math.ceil(share * certain * servers * HEADROOM)));
}

/** How many more homes a prefix in demand may have while its first ones are overloaded. */
export function extraHomes(heat: PrefixDemand, key: string, at: number): number {
  const demand = heat.keys.get(key);
  const requests = demand === undefined ? 0 : demand.requests * decay(demand, at);
  return requests >= DEMAND_REQUESTS ? EXTRA_HOMES : 0;
}

/** Forgets keys without recent demand. */
export function pruneDemand(heat: PrefixDemand, at: number): PrefixDemand {
  const keys = heat.keys.filter(
    (demand) => demand.milliseconds * decay(demand, at) >= FORGET_MILLISECONDS,
  );
  return keys.size === heat.keys.size ? heat : { ...heat, keys };
}

function decay(demand: Demand, at: number): number {
  return 0.5 ** ((at - demand.at) / HALF_LIFE_MILLISECONDS);
}

/** Hot prefixes change within seconds, while a few requests must pass before a share means anything. */
const HALF_LIFE_MILLISECONDS = 4_000;
const MINIMUM_DEMAND_MILLISECONDS = 8_000;
/** Below 1.5, a prefix with exactly one server's worth of demand would queue at its only home. */
const HEADROOM = 1.5;
const DEVIATIONS = 1.5;
/** Fewer recent requests than this do not pay for a copy. */
const DEMAND_REQUESTS = 2.5;
const EXTRA_HOMES = 2;
const FORGET_MILLISECONDS = 5;
