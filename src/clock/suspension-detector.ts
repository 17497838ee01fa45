import type * as clock from './clock';

/**
 * Detects suspensions of the VM: the wall clock includes their time, the monotonic clock does not. A wall clock
 * that is set forward looks the same.
 */
export class SuspensionDetector {
  private wallClockOffset: number;

  private detectedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly time: clock.Clock) {
    this.wallClockOffset = this.currentOffset();
  }

  /**
   * Monotonic time in milliseconds at which the last suspension was detected; minus infinity without one.
   *
   * @example
   * const isCertain = message.sentAt > detector.lastDetectedAt();
   */
  lastDetectedAt(): number {
    const offset = this.currentOffset();
    if (offset - this.wallClockOffset > TOLERANCE_MILLISECONDS) {
      this.detectedAt = this.time.monotonic();
      this.wallClockOffset = offset;
    }
    this.wallClockOffset = Math.min(this.wallClockOffset, offset);
    return this.detectedAt;
  }

  private currentOffset(): number {
    return this.time.now() - this.time.monotonic();
  }
}

/** Half of the clock drift that a lease tolerates. */
const TOLERANCE_MILLISECONDS = 50;
