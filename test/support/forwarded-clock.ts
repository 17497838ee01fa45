import * as clock from '../../src/clock';

/** The operating system's clock, with a monotonic time that a test can move forward. */
export class ForwardedClock extends clock.SystemClock {
  private offsetMilliseconds = 0;

  /** Lets time pass at once; timers that run do not notice. */
  forward(milliseconds: number): void {
    this.offsetMilliseconds += milliseconds;
  }

  override monotonic(): number {
    return super.monotonic() + this.offsetMilliseconds;
  }
}
