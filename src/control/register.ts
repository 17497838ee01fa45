import * as immutable from 'immutable';
import * as cacheSharing from './cache-sharing';

/** The active routing document: the text of the platform and its version. */
export interface RoutingText {
  readonly version: number;
  readonly text: string;
  /** Absent if the sender of the document was of a release that did not tell them, and in copies for other daemons. */
  readonly teams?: cacheSharing.DocumentTeams;
}

/**
 * What the operator of a platform sets: one routing document, of which the highest version wins, and the
 * desired weights version of each model, which only increases. Unlike in a publish, a lower version is
 * ignored and is no conflict.
 */
export interface Register {
  /** Increases with each change, so that daemons can compare the age of two copies. */
  readonly sequence: number;
  readonly routing?: RoutingText;
  /** Desired weights version of each model. */
  readonly weights: immutable.Map<string, DesiredWeights>;
  /** Software versions of each service that may have begun streams which callers still take up, sorted. */
  readonly softwareVersions: immutable.Map<string, readonly string[]>;
  /** Absent before the first routing document, and in copies of releases that did not keep it. */
  readonly cacheSharing?: cacheSharing.CacheSharing;
}

/** A desired weights version, and when it was committed. */
export interface DesiredVersion {
  readonly version: number;
  /** The leader's time in the log entry, in milliseconds since the Unix epoch. */
  readonly namedAt: number;
  /**
   * Time in milliseconds since the sender of a copy first had the version; only in messages between daemons.
   */
  readonly knownMilliseconds?: number;
}

/** The highest desired weights version of a model, which is the current one. */
export interface DesiredWeights extends DesiredVersion {
  /**
   * Earlier desired versions, oldest first; absent if there are none. A daemon that starts reads their times
   * here. Kept are the newest version that is at least `DESIRED_VERSION_RETENTION_MILLISECONDS` old, and all
   * later ones. If these are too many, versions that were set in quick succession are merged into the newest
   * of them, with the time of the first.
   */
  readonly earlier?: readonly DesiredVersion[];
}

/** Longer than any time for which engines may continue with an older version. */
export const DESIRED_VERSION_RETENTION_MILLISECONDS = 60_000;

/**
 * Limits the number of stored versions however often an operator's tools set one; short compared to the times
 * for which engines may continue with an older version.
 */
export const DESIRED_VERSION_SPACING_MILLISECONDS = 500;

// Time stamps of the log never decrease: after one in the future, all versions get the same one, however far
// apart they are set.
const MAXIMUM_UNMERGED_VERSIONS =
  DESIRED_VERSION_RETENTION_MILLISECONDS / DESIRED_VERSION_SPACING_MILLISECONDS;

export const EMPTY_REGISTER: Register = {
  sequence: 0,
  weights: immutable.Map(),
  softwareVersions: immutable.Map(),
};

/**
 * Replaces the routing document if the version is higher; otherwise the register stays the same.
 *
 * @example
 * putRouting(EMPTY_REGISTER, { version: 7, text }).sequence; // 1
 */
export function putRouting(register: Register, routing: RoutingText): Register {
  const { version, teams } = routing;
  if (version <= (register.routing?.version ?? Number.NEGATIVE_INFINITY)) {
    return register;
  }
  const isFirst = register.routing === undefined;
  return {
    ...register,
    sequence: register.sequence + 1,
    routing,
    cacheSharing: cacheSharing.nextSharing(register.cacheSharing, version, teams, isFirst),
  };
}

/**
 * Replaces the desired weights version of a model if the version is higher; otherwise the register stays the
 * same.
 *
 * @example
 * setDesiredWeights(EMPTY_REGISTER, 'desk', 2, timestamp).weights.get('desk')?.version; // 2
 */
export function setDesiredWeights(
  register: Register,
  model: string,
  version: number,
  timestamp: number,
): Register {
  const current = register.weights.get(model);
  if (current !== undefined && current.version >= version) {
    return register;
  }
  const weights = register.weights.set(model, {
    version,
    namedAt: timestamp,
    ...(current === undefined ? {} : { earlier: earlierVersions(current, timestamp) }),
  });
  return { ...register, sequence: register.sequence + 1, weights };
}

function earlierVersions(
  { version, namedAt, earlier = [] }: DesiredWeights,
  timestamp: number,
): readonly DesiredVersion[] {
  const versions = [...earlier, { version, namedAt }];
  const oldVersions = versions.filter(
    (desired) => timestamp - desired.namedAt >= DESIRED_VERSION_RETENTION_MILLISECONDS,
  );
  const kept = versions.slice(Math.max(0, oldVersions.length - 1));
  return kept.length <= MAXIMUM_UNMERGED_VERSIONS ? kept : kept.reduce(mergeIfClose, []);
}

/** Merged versions keep the first time, so that older ones go out of use early rather than late. */
function mergeIfClose(
  merged: readonly DesiredVersion[],
  desired: DesiredVersion,
): readonly DesiredVersion[] {
  const last = merged.at(-1);
  return last !== undefined && desired.namedAt - last.namedAt < DESIRED_VERSION_SPACING_MILLISECONDS
    ? [...merged.slice(0, -1), { ...desired, namedAt: last.namedAt }]
    : [...merged, desired];
}

/**
 * Adds and removes software versions of a service; the register stays the same if nothing changes.
 *
 * @example
 * changeSoftwareVersions(EMPTY_REGISTER, 'desk', ['v1'], []).softwareVersions.get('desk'); // ['v1']
 */
export function changeSoftwareVersions(
  register: Register,
  service: string,
  added: readonly string[],
  removed: readonly string[],
): Register {
  const before = register.softwareVersions.get(service, []);
  const kept = before.filter((version) => !removed.includes(version));
  const after = [...new Set([...kept, ...added])].sort();
  if (after.join() === before.join()) {
    return register;
  }
  const softwareVersions =
    after.length === 0
      ? register.softwareVersions.delete(service)
      : register.softwareVersions.set(service, after);
  return { ...register, sequence: register.sequence + 1, softwareVersions };
}

/** A register as it is written to snapshots and sent to daemons. */
export interface EncodedRegister {
  readonly sequence: number;
  readonly routing?: RoutingText;
  readonly weights: readonly (readonly [string, DesiredWeights])[];
  /** Absent in copies of releases that did not know software versions. */
  readonly softwareVersions?: readonly (readonly [string, readonly string[]])[];
  /** Absent in copies of releases that did not keep it. */
  readonly cacheSharing?: EncodedSharing;
}

/** The teams are only in snapshots, since other daemons do not need them. */
interface EncodedSharing {
  readonly since?: number;
  readonly teams?: readonly string[];
}

export function encodeRegister(register: Register): EncodedRegister {
  const { sequence, routing, weights, softwareVersions, cacheSharing: sharing } = register;
  return {
    sequence,
    ...(routing === undefined ? {} : { routing }),
    weights: [...weights],
    softwareVersions: [...softwareVersions],
    ...(sharing === undefined ? {} : { cacheSharing: encodeSharing(sharing) }),
  };
}

function encodeSharing({ since, teams }: cacheSharing.CacheSharing): EncodedSharing {
  return {
    ...(since === undefined ? {} : { since }),
    ...(teams === undefined ? {} : { teams: [...teams] }),
  };
}

function decodeSharing({ since, teams }: EncodedSharing): cacheSharing.CacheSharing {
  return { since, teams: teams && immutable.Set(teams) };
}

export function decodeRegister(encoded: EncodedRegister | undefined): Register {
  return encoded === undefined
    ? EMPTY_REGISTER
    : {
        ...encoded,
        weights: immutable.Map(encoded.weights),
        softwareVersions: immutable.Map(encoded.softwareVersions ?? []),
        cacheSharing: encoded.cacheSharing && decodeSharing(encoded.cacheSharing),
      };
}
