import * as immutable from 'immutable';

/** Timings of one server, as this daemon measured them. */
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

/** Removes the timings of a server that restarted or left. */
export function forgetTimings(timings: Timings, serverId: string): Timings {
  return timings.delete(serverId);
}

/**
 * The servers that are slower than the median of their peers, each with the factor. Servers that are not
 * slower or have too few samples are left out. Only the comparison with peers distinguishes a straggler from
 * a general rise of load.
 *
 * @example
 * slowdowns(timings, ['runner-0', 'runner-1', 'runner-3'], at); // [['runner-3', 7.6]]
 */
export function slowdowns(
  timings: Timings,
  serverIds: readonly string[],
  at: number,
): readonly (readonly [serverId: string, factor: number])[] {
  const measured = serverIds.flatMap((serverId) => {
    const timing = timings.get(serverId);
    return timing === undefined ? [] : [{ serverId, timing }];
  });
  // Sorts once for all servers instead of once for each server.
  const gaps = measured.filter(({ timing }) => hasGap(timing)).map(({ timing }) => gapOf(timing));
  const ratios = measured
    .filter(({ timing }) => hasRatio(timing))
    .map(({ timing }) => ratioOf(timing));
  [gaps, ratios].forEach((values) => values.sort((left, right) => left - right));
  return measured.flatMap(({ serverId, timing }) => {
    if (at - timing.at > RECOVERY_MILLISECONDS) {
      return [];
    }
    const factor = Math.max(
      hasGap(timing) ? ratioToOthers(gapOf(timing), gaps) : 1,
      hasRatio(timing) ? ratioToOthers(ratioOf(timing), ratios) : 1,
    );
    return factor > 1 ? [[serverId, factor] as const] : [];
  });
}

/** The median of the times between two pieces at these servers; undefined without enough samples. */
export function medianPieceGap(timings: Timings, serverIds: readonly string[]): number | undefined {
  const gaps = serverIds.flatMap((serverId) => {
    const timing = timings.get(serverId);
    return timing !== undefined && hasGap(timing) ? [gapOf(timing)] : [];
  });
  gaps.sort((left, right) => left - right);
  return gaps.length === 0 ? undefined : gaps[medianIndex(gaps.length)];
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
 * The ratio to the median of the other servers, or 1 within normal variation.
 *
 * @param sorted values of all servers in ascending order, `own` among them
 */
function ratioToOthers(own: number, sorted: readonly number[]): number {
  const others = sorted.length - 1;
  // A value above this median is sorted behind it, so that it does not affect it; a lower one is not slow.
  const ratio = others === 0 ? 1 : own / Math.max(MINIMUM_MEDIAN, sorted[medianIndex(others)]);
  return ratio >= STRAGGLER_RATIO ? ratio : 1;
}

/** Index of the median among sorted values; the lower one of two. */
function medianIndex(count: number): number {
  return Math.floor((count - 1) / 2);
}

/** The first samples get equal weights, so that a few suffice to detect a slow server. */
function smooth(average: number, samples: number, value: number): number {
  return average + (value - average) * Math.max(SMOOTHING_GAIN, 1 / (samples + 1));
}

const NEW_SERVER: ServerTiming = {
  pieceGapMilliseconds: 0,
  pieceSamples: 0,
  firstPieceRatio: 0,
  firstPieceSamples: 0,
  at: 0,
};

const SMOOTHING_GAIN = 0.25;
const MINIMUM_SAMPLES = 3;
/** Different batch sizes change times by a smaller factor than this. */
const STRAGGLER_RATIO = 2.5;
const MINIMUM_MEDIAN = 0.001;
/** A straggler without requests for this long counts as recovered, because nothing else would show it. */
const RECOVERY_MILLISECONDS = 30_000;
