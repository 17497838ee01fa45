import * as clock from '../clock';
import * as control from '../control';

/** Dependencies of the confirmation. */
export interface ConfirmationPorts {
  readonly plane: Pick<control.ControlPlane, 'propose' | 'register' | 'onRegister'>;
  readonly time: clock.Clock;
}

type Settle = (isConfirmed: boolean) => void;

/** An answered question that waits for a newer copy. */
interface LateCopy {
  readonly sequence: number;
  readonly settle: Settle;
}

/**
 * Confirms that this daemon's copy of the register holds all that was committed before a question. The age of the copy does
 * not tell this: after a suspension or a cut a daemon may read messages that were sent seconds ago. The answer of a round
 * trip through the log counts only for questions that were asked before the round trip began.
 */
export class RegisterConfirmation {
  /** Questions for the next round trip. */
  private waiting: Settle[] = [];

  private readonly lateCopies = new Set<LateCopy>();

  private timer: clock.Timer | undefined;

  private isClosed = false;

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: ConfirmationPorts) {
    this.unsubscribe = ports.plane.onRegister(() => this.settleCopies());
  }

  /**
   * Resolves with true once the copy holds what was committed before this call, and with false if that cannot be told
   * within `LIMIT_MILLISECONDS`. Questions that are asked together share a round trip.
   *
   * @example
   * const isOnlyVersion = (await confirmation.confirm()) && versions().length === 1;
   */
  confirm(): Promise<boolean> {
    if (this.isClosed) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.timer ??= this.ports.time.setTimer(COLLECTION_MILLISECONDS, () => {
        this.timer = undefined;
        this.ask();
      });
    });
  }

  close(): void {
    this.isClosed = true;
    this.unsubscribe();
    this.timer?.cancel();
    this.waiting.forEach((settle) => settle(false));
    this.waiting = [];
    this.lateCopies.forEach(({ settle }) => settle(false));
  }

  private async ask(): Promise<void> {
    const { plane, time } = this.ports;
    const asked = this.waiting;
    this.waiting = [];
    const settleAll: Settle = (isConfirmed) => asked.forEach((settle) => settle(isConfirmed));
    const endsAt = time.monotonic() + LIMIT_MILLISECONDS;
    const kind = control.CommandKind.ReadRegister;
    const result = await plane.propose({ kind }, LIMIT_MILLISECONDS);
    if (this.isClosed || result.err || !isSequence(result.val)) {
      settleAll(false);
    } else {
      this.awaitCopy(result.val.sequence, Math.max(0, endsAt - time.monotonic()), settleAll);
    }
  }

  /** Waits until this daemon has a copy of this sequence or a later one. */
  private awaitCopy(sequence: number, milliseconds: number, settleAll: Settle): void {
    if (this.ports.plane.register().sequence >= sequence) {
      settleAll(true);
      return;
    }
    const timer = this.ports.time.setTimer(milliseconds, () => late.settle(false));
    const late: LateCopy = {
      sequence,
      settle: (isConfirmed) => {
        timer.cancel();
        this.lateCopies.delete(late);
        settleAll(isConfirmed);
      },
    };
    this.lateCopies.add(late);
  }

  private settleCopies(): void {
    const current = this.ports.plane.register().sequence;
    this.lateCopies.forEach(({ sequence, settle }) => {
      if (sequence <= current) {
        settle(true);
      }
    });
  }
}

function isSequence(result: control.CommandResult): result is control.RegisterSequence {
  return result.kind === control.CommandResultKind.RegisterSequence;
}

const COLLECTION_MILLISECONDS = 5;

/** Above a round trip between regions with a write to the log, and below the time of an election: a caller is told to come back. */
const LIMIT_MILLISECONDS = 500;
