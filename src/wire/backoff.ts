import type * as clock from '../clock';

const FIRST_DELAY_MILLISECONDS = 100;

// A restarted daemon must be linked again well within the 5 s in which a configuration reaches all daemons.
const MAXIMUM_DELAY_MILLISECONDS = 2_000;

/**
 * Delay in milliseconds before the next attempt to connect: exponential with a random factor between 0.5 and 1,
 * so that daemons that lost the same peer do not reconnect at the same moment.
 *
 * @param failures consecutive failed attempts to connect, at least 1
 */
export function reconnectDelay(failures: number, random: clock.RandomSource): number {
  const exponential = FIRST_DELAY_MILLISECONDS * 2 ** Math.min(failures - 1, 10);
  const bound = Math.min(exponential, MAXIMUM_DELAY_MILLISECONDS);
  return bound * (0.5 + 0.5 * random.uniform());
}
