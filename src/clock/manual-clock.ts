import * as clock from './clock';

interface PendingTimer {
  readonly due: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** A clock that only `advance` and `suspend` move. Timers fire in order of due time, then of creation. */
export class ManualClock extends clock.Clock {
  private time: number;

  private suspended = 0;

  private nextSequence = 0;

  private pending: PendingTimer[] = [];

  constructor(startMilliseconds = 0) {
    super();
    this.time = startMilliseconds;
  }

  override now(): number {
    return this.time + this.suspended;
  }

  override monotonic(): number {
    return this.time;
  }

  override setTimer(delayMilliseconds: number, callback: () => void): clock.Timer {
    const timer = { due: this.time + delayMilliseconds, sequence: this.nextSequence, callback };
    this.nextSequence += 1;
    this.pending.push(timer);
    return {
      cancel: () => {
        this.pending = this.pending.filter((candidate) => candidate !== timer);
      },
    };
  }

  /**
   * Advances the time and fires every timer that becomes due, including those set by other timers.
   *
   * @example
   * manualClock.advance(250);
   */
  advance(milliseconds: number): void {
    const end = this.time + milliseconds;
    for (let next = this.dequeueDue(end); next !== undefined; next = this.dequeueDue(end)) {
      this.time = Math.max(this.time, next.due);
      next.callback();
    }
    this.time = end;
  }

  /**
   * Advances only the wall clock, as a suspension of the VM does; monotonic time and timers exclude it.
   *
   * @example
   * manualClock.suspend(5_000);
   */
  suspend(milliseconds: number): void {
    this.suspended += milliseconds;
  }

  private dequeueDue(end: number): PendingTimer | undefined {
    const next = this.pending.reduce<PendingTimer | undefined>(
      (first, timer) =>
        timer.due <= end && (first === undefined || isBefore(timer, first)) ? timer : first,
      undefined,
    );
    if (next !== undefined) {
      this.pending = this.pending.filter((timer) => timer !== next);
    }
    return next;
  }
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  return left.due < right.due || (left.due === right.due && left.sequence < right.sequence);
}
