import * as clock from './clock';

/** The operating system's clock and the event loop's timers. */
export class SystemClock extends clock.Clock {
  override now(): number {
    return Date.now();
  }

  override monotonic(): number {
    return performance.now();
  }

  override setTimer(delayMilliseconds: number, callback: () => void): clock.Timer {
    const handle = setTimeout(callback, delayMilliseconds);
    return { cancel: () => clearTimeout(handle) };
  }
}
