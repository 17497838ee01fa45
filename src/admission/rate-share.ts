/**
 * This daemon's share of the requests a second that a server takes from all daemons together. Each daemon has a turn once
 * in a period and may send one request in it. Turns begin at random times, so that few daemons have theirs at once, and an
 * unused one ends: a server that nobody used for a while does not get a request from every daemon at the next load peak.
 */
export interface RateShare {
  /** The limit for all daemons. */
  readonly perSecond: number;
  /** When a turn begins; others follow in each period. Monotonic time in milliseconds. */
  readonly turnAt: number;
}

/**
 * The share of a limit that has just become known.
 *
 * @param phase random, from 0 to 1: the part of a period until the first turn
 * @param daemons number of daemons that share the limit, this one included; without it this daemon has no turn
 * @example
 * newRateShare(1.2, at, random.uniform(), 9);
 */
export function newRateShare(
  perSecond: number,
  at: number,
  phase: number,
  daemons: number | undefined,
): RateShare {
  const period = periodOf(perSecond, daemons);
  return { perSecond, turnAt: Number.isFinite(period) ? at + phase * period : at };
}

/** Whether this daemon may send a request now. */
export function hasTurn(
  { perSecond, turnAt }: RateShare,
  at: number,
  daemons: number | undefined,
): boolean {
  const period = periodOf(perSecond, daemons);
  if (daemons === undefined || !Number.isFinite(period) || at < turnAt) {
    return false;
  }
  const usableFraction = Math.min(1, SIMULTANEOUS_TURNS / daemons);
  return (at - turnAt) % period < usableFraction * period;
}

/** Ends the turn of this daemon with a request; the next one begins a period later. */
export function useTurn(share: RateShare, at: number, daemons: number | undefined): RateShare {
  const period = periodOf(share.perSecond, daemons);
  return Number.isFinite(period) ? { ...share, turnAt: at + period } : share;
}

/** Milliseconds between two turns of one daemon; infinite if it has none. */
function periodOf(perSecond: number, daemons: number | undefined): number {
  return daemons === undefined || perSecond <= 0
    ? Number.POSITIVE_INFINITY
    : (daemons / (perSecond * USED_FRACTION)) * 1_000;
}

/** Requests wait in links and queues and arrive closer together than they were sent. */
const USED_FRACTION = 0.85;

/** Turns that all daemons have at once on average. */
const SIMULTANEOUS_TURNS = 3;
