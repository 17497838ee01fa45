import * as rendezvous from './rendezvous';
import * as prefixDemand from './prefix-demand';

/** Demand for one prefix. */
export interface KeyDemand {
  /** See `demandHash`. */
  readonly hash: number;
  /** Estimated server time. */
  readonly milliseconds: number;
  readonly requests: number;
}

/** Recent demand of all daemons for the prefixes that are wanted most. */
export interface FleetDemand {
  /** Monotonic time in milliseconds at which the report arrived. */
  readonly at: number;
  readonly totalMilliseconds: number;
  readonly keys: ReadonlyMap<number, KeyDemand>;
}

/** A 32-bit hash of a prefix, by which daemons report their demand. Two prefixes with one hash get homes for both. */
export function demandHash(key: string): number {
  return rendezvous.hashText(key);
}

/**
 * Number of home servers of a prefix, as `prefixDemand.homeCount`, but from the demand of all daemons: in a large fleet
 * each daemon sees a few requests a second, too few to tell a prefix of every request from one of a single session.
 * A prefix that the report does not contain has one home.
 *
 * @example
 * fleetHomeCount({ at, totalMilliseconds: 0, keys: new Map() }, key, 109); // 1
 */
export function fleetHomeCount(demand: FleetDemand, key: string, servers: number): number {
  const found = demand.keys.get(demandHash(key));
  return found === undefined
    ? 1
    : prefixDemand.homesForDemand(found, demand.totalMilliseconds, servers);
}

/** Recent demand for the prefixes that are wanted most, and the total for all prefixes. */
export interface DemandReport {
  readonly totalMilliseconds: number;
  readonly keys: readonly KeyDemand[];
}

/** The recent demand of one daemon, for a message to the others. */
export function reportDemand(
  { total, keys }: prefixDemand.PrefixDemand,
  at: number,
  maximumKeys: number,
): DemandReport {
  const recentKeys = [...keys].map(([key, demand]) => ({
    hash: demandHash(key),
    ...prefixDemand.recent(demand, at),
  }));
  return {
    totalMilliseconds: prefixDemand.recent(total, at).milliseconds,
    keys: largest(recentKeys, maximumKeys),
  };
}

/**
 * The sum of the reports of several daemons.
 *
 * @example
 * sumDemand([first, second], 48).totalMilliseconds;
 */
export function sumDemand(reports: readonly DemandReport[], maximumKeys: number): DemandReport {
  const sums = new Map<number, KeyDemand>();
  reports.forEach(({ keys }) =>
    keys.forEach(({ hash, milliseconds, requests }) => {
      const sum = sums.get(hash);
      sums.set(hash, {
        hash,
        milliseconds: milliseconds + (sum?.milliseconds ?? 0),
        requests: requests + (sum?.requests ?? 0),
      });
    }),
  );
  return {
    totalMilliseconds: reports.reduce((sum, report) => sum + report.totalMilliseconds, 0),
    keys: largest([...sums.values()], maximumKeys),
  };
}

function largest(keys: readonly KeyDemand[], maximumKeys: number): readonly KeyDemand[] {
  return [...keys]
    .sort((left, right) => right.milliseconds - left.milliseconds)
    .slice(0, maximumKeys);
}
