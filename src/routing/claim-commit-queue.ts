import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';

type ClaimEndCommand = control.CompleteClaimCommand | control.AbandonClaimCommand;

interface PendingCommand {
  readonly command: ClaimEndCommand;
  readonly resolve: () => void;
}

/**
 * Commits the commands that complete or abandon claims, and retries each of them until the control log has
 * committed it. A command that is lost with the daemon's process leaves its claim open; a resend of that
 * request then gets the verdict "may have run".
 */
export class ClaimCommitQueue {
  private readonly pending: PendingCommand[] = [];

  private running = 0;

  private isClosed = false;

  constructor(
    private readonly plane: control.ControlPlane,
    private readonly time: clock.Clock,
  ) {}

  /** Commands that are not committed yet. */
  get length(): number {
    return this.pending.length + this.running;
  }

  /** Queues a command; resolves once it is committed or the queue is closed. A dropped command never resolves. */
  commit(command: ClaimEndCommand): Promise<void> {
    return new Promise((resolve) => {
      if (this.pending.length >= MAXIMUM_PENDING) {
        const dropped = this.pending.shift();
        logger.warning(
          'too many claim commands wait for a majority; dropped the oldest and left its claim open',
          {
            team: dropped?.command.team,
          },
        );
      }
      this.pending.push({ command, resolve });
      this.startWorkers();
    });
  }

  /** Waits at most `waitMilliseconds` for the pending commands, then stops. */
  async close(waitMilliseconds: number): Promise<void> {
    const end = this.time.monotonic() + waitMilliseconds;
    while (this.length > 0 && this.time.monotonic() < end) {
      await this.time.sleep(CLOSE_POLL_MILLISECONDS);
    }
    this.isClosed = true;
  }

  private startWorkers(): void {
    if (this.running < MAXIMUM_CONCURRENT) {
      const next = this.pending.shift();
      if (next !== undefined) {
        this.running += 1;
        this.commitUntilDone(next);
      }
    }
  }

  private async commitUntilDone(entry: PendingCommand): Promise<void> {
    while (!this.isClosed) {
      const result = await this.plane.propose(entry.command, PROPOSE_TIMEOUT_MILLISECONDS);
      if (result.ok) {
        break;
      }
      await this.time.sleep(RETRY_MILLISECONDS);
    }
    this.running -= 1;
    entry.resolve();
    this.startWorkers();
  }
}

const logger = new logging.Logger('routing');

const MAXIMUM_PENDING = 10_000;

// Also under load, a completed claim should be committed before its caller receives the answer.
const MAXIMUM_CONCURRENT = 32;

const PROPOSE_TIMEOUT_MILLISECONDS = 2_000;

const RETRY_MILLISECONDS = 250;

const CLOSE_POLL_MILLISECONDS = 20;
