/** Handle of a pending timer. */
export interface Timer {
  /** Stops the timer; does nothing when it has already fired. */
  cancel(): void;
}

/** Source of time: `SystemClock` in the daemon, `ManualClock` in tests and benchmarks. */
export abstract class Clock {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  abstract now(): number;

  /** Monotonic time in milliseconds; only differences have a meaning. */
  abstract monotonic(): number;

  /**
   * Calls `callback` once after a delay.
   *
   * @example
   * const timer = clock.setTimer(1_000, () => link.sendHeartbeat());
   */
  abstract setTimer(delayMilliseconds: number, callback: () => void): Timer;

  /** Resolves after a delay. */
  sleep(delayMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.setTimer(delayMilliseconds, resolve);
    });
  }
}
