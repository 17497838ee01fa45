import type * as state from './state';

/**
 * Milliseconds for which a started stream waits before it is sent again.
 *
 * Load pattern: all servers are full, and each refuses at once. Streams that go from one to the next use up the retries within
 * a few round trips, before the first server has room again.
 *
 * @example
 * pauseOf({ ...request, refusals: 3 }); // 200
 */
export function pauseOf({ nextPiece, refusals = 0 }: state.RequestState): number {
  const excess = refusals - IMMEDIATE_REFUSALS;
  return nextPiece === 0 || excess <= 0
    ? 0
    : Math.min(LONGEST_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS * 2 ** (excess - 1));
}

/** Refusals in a row after which the next server is asked at once: a single server may just have got an order. */
const IMMEDIATE_REFUSALS = 1;

const FIRST_PAUSE_MILLISECONDS = 100;

/** Below the time for which callers wait for the next piece. */
const LONGEST_PAUSE_MILLISECONDS = 800;
