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
 * How many times slower a server is than the median of its peers; 1 when it is not, or when too little
 * is known. Only comparison with peers tells a straggler from a general rise of load.
 *
 * @example
 * slowdown(timings, 'runner-3', ['runner-0', 'runner-1', 'runner-3'], at); // 7.6
 */
export function slowdown(
  timings: Timings,
  serverId: string,
  peers: readonly string[],
  at: number,
): number {
  const own = timings.get(serverId);
  if (own === undefined || at - own.at > FORGET_MILLISECONDS) {
    return 1;
  }
  const others = peers.flatMap((peer) => {
    const timing = peer === serverId ? undefined : timings.get(peer);
    return timing === undefined ? [] : [timing];
  });
  const gaps = others.flatMap((timing) =>
    timing.pieceSamples >= MINIMUM_SAMPLES ? [timing.pieceGapMilliseconds] : [],
  );
  const ratios = others.flatMap((timing) =>
    timing.firstPieceSamples >= MINIMUM_SAMPLES ? [timing.firstPieceRatio] : [],
  );
  return Math.max(
    1,
    own.pieceSamples >= MINIMUM_SAMPLES ? relative(own.pieceGapMilliseconds, gaps) : 1,
    own.firstPieceSamples >= MINIMUM_SAMPLES ? relative(own.firstPieceRatio, ratios) : 1,
  );
}

/** The usual time between two pieces at these servers, if enough is known. */
export function usualPieceGap(timings: Timings, serverIds: readonly string[]): number | undefined {
  const gaps = serverIds.flatMap((serverId) => {
    const timing = timings.get(serverId);
    return timing !== undefined && timing.pieceSamples >= MINIMUM_SAMPLES
      ? [timing.pieceGapMilliseconds]
      : [];
  });
  return gaps.length === 0 ? undefined : median(gaps);
}

/** The ratio to the median of the others, or 1 while it is within normal variation. */
function relative(own: number, others: readonly number[]): number {
  if (others.length === 0) {
    return 1;
  }
  const ratio = own / Math.max(MINIMUM_BASE, median(others));
  return ratio >= STRAGGLER_RATIO ? ratio : 1;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
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
