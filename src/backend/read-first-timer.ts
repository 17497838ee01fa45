import * as clock from '../clock';

/**
 * Sets a timer on data from a connection. If this process stood still at its end, what has arrived is read before the callback
 * runs, so that it can still cancel the timer: timers run before the next read.
 *
 * @example
 * const timer = setReadFirstTimer(time, 3_000, () => connection.destroy());
 */
export function setReadFirstTimer(
  time: clock.Clock,
  milliseconds: number,
  callback: () => void,
): clock.Timer {
  const dueAt = time.monotonic() + milliseconds;
  let timer = time.setTimer(milliseconds, () => {
    const isLate = time.monotonic() - dueAt >= LATE_MILLISECONDS;
    if (isLate) {
      timer = time.setTimer(READ_MILLISECONDS, callback);
    } else {
      callback();
    }
  });
  return { cancel: () => timer.cancel() };
}

/** Above the usual lateness of timers. */
const LATE_MILLISECONDS = 20;

/** Enough for an answer of several parts; short beside all limits. */
const READ_MILLISECONDS = 50;
