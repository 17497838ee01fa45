import * as immutable from 'immutable';

/** Timings of one server as this daemon saw them. */
interface ServerTiming {
  /** Smoothed time between two pieces of one stream. */
  readonly pieceGapMilliseconds: number;
  readonly pieceSamples: number;
  /** Smoothed ratio of the time to the first piece to the expected time. */
  readonly firstPieceRatio: number;
  readonly firstPieceSamples: number;
  readonly at: number;
}

/** Timings by server. */
export type Timings = immutable.Map<string, ServerTiming>;

export const EMPTY_TIMINGS: Timings = immutable.Map<string, ServerTiming>();

/** Records the time between two pieces. */
export function recordPieceGap(
  timings: Timings,
  serverId: string,
  milliseconds: number,
  at: number,
): Timings {
  const timing = timings.get(serverId, NEW_SERVER);
  return timings.set(serverId, {
    ...timing,
    pieceGapMilliseconds: smooth(timing.pieceGapMilliseconds, timing.pieceSamples, milliseconds),
    pieceSamples: timing.pieceSamples + 1,
    at,
  });
}

/** Records the time to a first piece, divided by the time that was expected. */
export function recordFirstPiece(
  timings: Timings,
  serverId: string,
  ratio: number,
  at: number,
): Timings {
  const timing = timings.get(serverId, NEW_SERVER);
  return timings.set(serverId, {
    ...timing,
    firstPieceRatio: smooth(timing.firstPieceRatio, timing.firstPieceSamples, ratio),
    firstPieceSamples: timing.firstPieceSamples + 1,
    at,
  });
}

/** Forgets a server that restarted or left. */
export function forgetTimings(timings: Timings, serverId: string): Timings {
  return timings.delete(serverId);
}

/**
 * The servers that are slower than the median of their peers, each with how many times; servers that are not,
 * or of which too little is known, are left out. Only comparison with peers tells a straggler from a general
 * rise of load.
 *
 * @example
 * slowdowns(timings, ['runner-0', 'runner-1', 'runner-3'], at); // [['runner-3', 7.6]]
 */
export function slowdowns(
  timings: Timings,
  serverIds: readonly string[],
  at: number,
): readonly (readonly [serverId: string, factor: number])[] {
  const known = serverIds.flatMap((serverId) => {
    const timing = timings.get(serverId);
    return timing === undefined ? [] : [{ serverId, timing }];
  });
  // Sorted once for all servers; the comparison of each with the others would sort once for each.
  const gaps = known.filter(({ timing }) => hasGap(timing)).map(({ timing }) => gapOf(timing));
  const ratios = known
    .filter(({ timing }) => hasRatio(timing))
    .map(({ timing }) => ratioOf(timing));
  [gaps, ratios].forEach((values) => values.sort((left, right) => left - right));
  return known.flatMap(({ serverId, timing }) => {
    if (at - timing.at > FORGET_MILLISECONDS) {
      return [];
    }
    const factor = Math.max(
      hasGap(timing) ? relative(gapOf(timing), gaps) : 1,
      hasRatio(timing) ? relative(ratioOf(timing), ratios) : 1,
    );
    return factor > 1 ? [[serverId, factor] as const] : [];
  });
}

/** The usual time between two pieces at these servers, if enough is known. */
export function medianPieceGap(timings: Timings, serverIds: readonly string[]): number | undefined {
  const gaps = serverIds.flatMap((serverId) => {
    const timing = timings.get(serverId);
    return timing !== undefined && hasGap(timing) ? [gapOf(timing)] : [];
  });
  gaps.sort((left, right) => left - right);
  return gaps.length === 0 ? undefined : gaps[medianPlace(gaps.length)];
}

function hasGap({ pieceSamples }: ServerTiming): boolean {
  return pieceSamples >= MINIMUM_SAMPLES;
}

function gapOf({ pieceGapMilliseconds }: ServerTiming): number {
  return pieceGapMilliseconds;
}

function hasRatio({ firstPieceSamples }: ServerTiming): boolean {
  return firstPieceSamples >= MINIMUM_SAMPLES;
}

function ratioOf({ firstPieceRatio }: ServerTiming): number {
  return firstPieceRatio;
}

/**
 * The ratio to the median of the others, or 1 while it is within normal variation.
 *
 * @param sorted the values of all servers, the own one among them, the smallest first
 */
function relative(own: number, sorted: readonly number[]): number {
  const others = sorted.length - 1;
  // A value above this median lies behind it, so that leaving it out moves nothing; a lower one is not slow.
  const ratio = others === 0 ? 1 : own / Math.max(MINIMUM_BASE, sorted[medianPlace(others)]);
  return ratio >= STRAGGLER_RATIO ? ratio : 1;
}

/** Place of the median among sorted values; the lower one of two. */
function medianPlace(count: number): number {
  return Math.floor((count - 1) / 2);
}

/** The first samples count in full, so that a slow server is known after a few. */
function smooth(average: number, samples: number, value: number): number {
  return average + (value - average) * Math.max(GAIN, 1 / (samples + 1));
}

const NEW_SERVER: ServerTiming = {
  pieceGapMilliseconds: 0,
  pieceSamples: 0,
  firstPieceRatio: 0,
  firstPieceSamples: 0,
  at: 0,
};

const GAIN = 0.25;
const MINIMUM_SAMPLES = 3;
/** Batches of different size change times by less than this. */
const STRAGGLER_RATIO = 2.5;
const MINIMUM_BASE = 0.001;
/** A straggler that got no work for this long counts as recovered, since nothing else would show it. */
const FORGET_MILLISECONDS = 30_000;
