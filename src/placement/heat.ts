import * as immutable from 'immutable';

/** Recent demand of one key, decaying exponentially. */
interface Demand {
  readonly milliseconds: number;
  readonly at: number;
}

/** Recent demand by anchor, and over all of them. */
export interface Heat {
  readonly total: Demand;
  readonly keys: immutable.Map<string, Demand>;
}

export const EMPTY_HEAT: Heat = {
  total: { milliseconds: 0, at: 0 },
  keys: immutable.Map<string, Demand>(),
};

/**
 * Adds the server time that a request with this anchor will take.
 *
 * @example
 * const warmer = addHeat(heat, anchor, 800, at);
 */
export function addHeat(heat: Heat, key: string, milliseconds: number, at: number): Heat {
  const add = (demand: Demand) => ({
    milliseconds: decayed(demand, at) + milliseconds,
    at,
  });
  return {
    total: add(heat.total),
    keys: heat.keys.update(key, { milliseconds: 0, at }, add),
  };
}

/**
 * How many servers should keep a prefix: its share of the daemon's recent demand, times the servers, with
 * room to spare. Daemons see similar mixes, so that they agree without talking to each other.
 *
 * @example
 * spread(heat, coldAnchor, 8, at); // 1
 */
export function spread(heat: Heat, key: string, servers: number, at: number): number {
  const total = decayed(heat.total, at);
  const demand = heat.keys.get(key);
  if (demand === undefined || total < MINIMUM_DEMAND_MILLISECONDS) {
    return 1;
  }
  const share = decayed(demand, at) / total;
  return Math.max(1, Math.min(servers, Math.ceil(share * servers * HEADROOM)));
}

/** Forgets keys without recent demand. */
export function pruneHeat(heat: Heat, at: number): Heat {
  const keys = heat.keys.filter((demand) => decayed(demand, at) >= FORGET_MILLISECONDS);
  return keys.size === heat.keys.size ? heat : { ...heat, keys };
}

function decayed(demand: Demand, at: number): number {
  return demand.milliseconds * 0.5 ** ((at - demand.at) / HALF_LIFE_MILLISECONDS);
}

/** Hot prefixes change within seconds, while a few requests must pass before a share means anything. */
const HALF_LIFE_MILLISECONDS = 4_000;
const MINIMUM_DEMAND_MILLISECONDS = 8_000;
/** Below 1.5, a prefix with exactly one server's worth of demand would queue at its only home. */
const HEADROOM = 1.5;
const FORGET_MILLISECONDS = 5;
