import type * as clock from '../clock';

const FIRST_DELAY_MILLISECONDS = 100;

// A daemon that comes back must be linked again well within the 5 s in which a configuration spreads.
const MAXIMUM_DELAY_MILLISECONDS = 2_000;

/**
 * Delay before a connection is tried again: exponential, between half of the bound and the bound, so that
 * daemons that lost the same peer do not return at the same moment.
 *
 * @param failures connection attempts that failed in a row, at least 1
 */
export function reconnectDelay(failures: number, random: clock.RandomSource): number {
  const exponential = FIRST_DELAY_MILLISECONDS * 2 ** Math.min(failures - 1, 10);
  const bound = Math.min(exponential, MAXIMUM_DELAY_MILLISECONDS);
  return bound * (0.5 + 0.5 * random.uniform());
}
