import * as immutable from 'immutable';

/** The routing document in force: the platform's own text under its own version. */
export interface RoutingText {
  readonly version: number;
  readonly text: string;
}

/**
 * What the operator of a platform has named: one routing document, of which the highest version wins, and
 * the weights version of each model, which only rises. Unlike a publish, a lower version is no conflict.
 */
export interface Register {
  /** Grows with each change, so that daemons can tell which of two copies is newer. */
  readonly sequence: number;
  readonly routing?: RoutingText;
  /** Named weights version of each model. */
  readonly weights: immutable.Map<string, DesiredWeights>;
}

/** A weights version, and when it was committed. */
export interface DesiredVersion {
  readonly version: number;
  /** The leader's time in the log entry, in milliseconds since the Unix epoch. */
  readonly namedAt: number;
  /** How long the sender of a copy has known of it; only in messages between daemons. */
  readonly knownMilliseconds?: number;
}

/** The highest named weights version of a model. */
export interface DesiredWeights extends DesiredVersion {
  /**
   * Versions before it, oldest first; absent for none. A daemon that starts learns their times here: the newest
   * one that was named `NAMING_MEMORY_MILLISECONDS` ago, and those after it. When these are too many, of versions
   * that were named in quick succession the newest is kept, with the time of the first.
   */
  readonly earlier?: readonly DesiredVersion[];
}

/** Above every time for which engines with an older version may go on. */
export const DESIRED_VERSION_RETENTION_MILLISECONDS = 60_000;

/** Bounds the namings that are kept, whatever an operator's tools do; small beside such times. */
export const DESIRED_VERSION_SPACING_MILLISECONDS = 500;

// A log whose last entry has a date in the future dates all namings alike, however far apart they are.
const NAMINGS_WITHOUT_SPACING =
  DESIRED_VERSION_RETENTION_MILLISECONDS / DESIRED_VERSION_SPACING_MILLISECONDS;

export const EMPTY_REGISTER: Register = { sequence: 0, weights: immutable.Map() };

/**
 * Takes over a routing document with a higher version; keeps the present one otherwise.
 *
 * @example
 * putRouting(EMPTY_REGISTER, { version: 7, text }).sequence; // 1
 */
export function putRouting(register: Register, routing: RoutingText): Register {
  const isHigher = routing.version > (register.routing?.version ?? Number.NEGATIVE_INFINITY);
  return isHigher ? { ...register, sequence: register.sequence + 1, routing } : register;
}

/**
 * Takes over a higher weights version of a model; keeps the present one otherwise.
 *
 * @example
 * nameWeights(EMPTY_REGISTER, 'desk', 2, timestamp).weights.get('desk')?.version; // 2
 */
export function setDesiredWeights(
  register: Register,
  model: string,
  version: number,
  timestamp: number,
): Register {
  const known = register.weights.get(model);
  if (known !== undefined && known.version >= version) {
    return register;
  }
  const weights = register.weights.set(model, {
    version,
    namedAt: timestamp,
    ...(known === undefined ? {} : { earlier: versionsUpTo(known, timestamp) }),
  });
  return { ...register, sequence: register.sequence + 1, weights };
}

function versionsUpTo(
  { version, namedAt, earlier = [] }: DesiredWeights,
  timestamp: number,
): readonly DesiredVersion[] {
  const namings = [...earlier, { version, namedAt }];
  const settled = namings.filter(
    (naming) => timestamp - naming.namedAt >= DESIRED_VERSION_RETENTION_MILLISECONDS,
  );
  const kept = namings.slice(Math.max(0, settled.length - 1));
  return kept.length <= NAMINGS_WITHOUT_SPACING ? kept : kept.reduce(withSpacing, []);
}

/** The time of the first of two versions ends the use of older ones early rather than late. */
function withSpacing(
  kept: readonly DesiredVersion[],
  naming: DesiredVersion,
): readonly DesiredVersion[] {
  const last = kept.at(-1);
  return last !== undefined && naming.namedAt - last.namedAt < DESIRED_VERSION_SPACING_MILLISECONDS
    ? [...kept.slice(0, -1), { ...naming, namedAt: last.namedAt }]
    : [...kept, naming];
}

/** A register as it is written to snapshots and sent to daemons. */
export interface EncodedRegister {
  readonly sequence: number;
  readonly routing?: RoutingText;
  readonly weights: readonly (readonly [string, DesiredWeights])[];
}

export function encodeRegister({ sequence, routing, weights }: Register): EncodedRegister {
  return { sequence, ...(routing === undefined ? {} : { routing }), weights: [...weights] };
}

export function decodeRegister(encoded: EncodedRegister | undefined): Register {
  return encoded === undefined
    ? EMPTY_REGISTER
    : { ...encoded, weights: immutable.Map(encoded.weights) };
}
