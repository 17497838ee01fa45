import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';

type FollowUpCommand = control.CompleteClaimCommand | control.AbandonClaimCommand;

interface PendingCommand {
  readonly command: FollowUpCommand;
  readonly resolve: () => void;
}

/**
 * Commits what has to be said about claims, one command after another, and repeats each until the log
 * has taken it. What is lost when the daemon dies leaves a claim that is told as "may have run".
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

  /** Resolves once the command is committed. */
  commit(command: FollowUpCommand): Promise<void> {
    return new Promise((resolve) => {
      if (this.pending.length >= MAXIMUM_PENDING) {
        const dropped = this.pending.shift();
        logger.warning('claim was left open because too many wait for a majority', {
          team: dropped?.command.team,
        });
      }
      this.pending.push({ command, resolve });
      this.startWorkers();
    });
  }

  /** Waits for the pending commands up to a limit, then stops. */
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

// A completed claim should be in the log before the caller has its answer, also under load.
const MAXIMUM_CONCURRENT = 32;

const PROPOSE_TIMEOUT_MILLISECONDS = 2_000;

const RETRY_MILLISECONDS = 250;

const CLOSE_POLL_MILLISECONDS = 20;
