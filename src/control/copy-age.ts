import * as clock from '../clock';

/** How far the two replicated documents of a daemon reach. */
export interface CopyPosition {
  readonly revision: number;
  readonly registerSequence: number;
}

/** A time at which nothing newer than a position had been acknowledged. */
interface Confirmation {
  readonly position: CopyPosition;
  readonly at: number;
}

/**
 * Upper bound of the age of a daemon's copy of the replicated documents: nothing was acknowledged to an operator before that
 * which the copy lacks. Only the leader knows this by itself; the others learn it from the heartbeats of their peers, which
 * may have learned it from others in turn.
 *
 * @example
 * age.confirm({ revision: 0, registerSequence: 7 }, time.monotonic() - 300);
 * age.advance({ revision: 0, registerSequence: 7 });
 * age.milliseconds(); // 300
 */
export class CopyAge {
  private confirmedAt = Number.NEGATIVE_INFINITY;

  private own: CopyPosition = { revision: 0, registerSequence: 0 };

  /** Confirmations of positions that the copy has not reached, the oldest first. */
  private pending: readonly Confirmation[] = [];

  constructor(
    private readonly time: clock.Clock,
    private readonly suspensions: clock.SuspensionDetector,
  ) {}

  /** Records that nothing newer than `position` had been acknowledged at a monotonic time in milliseconds. */
  confirm(position: CopyPosition, at: number): void {
    if (at > this.confirmedAt) {
      this.pending = [...this.pending, { position, at }].slice(-MAXIMUM_PENDING);
      this.settle();
    }
  }

  /** Records that the copy has reached a position. */
  advance(own: CopyPosition): void {
    this.own = own;
    this.settle();
  }

  /** Age in milliseconds; infinite if it is unknown, as after a suspension of the VM, which no clock here includes. */
  milliseconds(): number {
    const isKnown = this.confirmedAt > this.suspensions.lastDetectedAt();
    return isKnown ? Math.max(0, this.time.monotonic() - this.confirmedAt) : Infinity;
  }

  private settle(): void {
    const reached = this.pending.filter(({ position }) => isReached(position, this.own));
    this.confirmedAt = Math.max(this.confirmedAt, ...reached.map(({ at }) => at));
    this.pending = this.pending.filter(({ at }) => at > this.confirmedAt);
  }
}

function isReached(position: CopyPosition, own: CopyPosition): boolean {
  return position.revision <= own.revision && position.registerSequence <= own.registerSequence;
}

/** Changes may come faster than copies of them; an older confirmation is of no use once a later one is reached. */
const MAXIMUM_PENDING = 16;
