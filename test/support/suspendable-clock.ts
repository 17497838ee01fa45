import * as clock from '../../src/clock';

/** The operating system's clock on a VM that a test suspends: only wall-clock time passes during a suspension. */
export class SuspendableClock extends clock.SystemClock {
  private suspended = 0;

  override now(): number {
    return super.now() + this.suspended;
  }

  suspend(milliseconds: number): void {
    this.suspended += milliseconds;
  }
}
