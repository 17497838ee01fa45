import * as clock from '../clock';
import * as logging from '../logging';
import * as replicaTask from './replica-task';

/**
 * Owns the replica of a daemon, and opens it again after its storage failed, as a restart of the process would.
 * Writes that were not synced were never acknowledged, so the replica continues from the content of its disk.
 *
 * @example
 * const supervisor = new ReplicaSupervisor(options, handlers);
 * await supervisor.start();
 */
export class ReplicaSupervisor {
  private opened: replicaTask.ReplicaTask | undefined;

  private timer: clock.Timer | undefined;

  private reopening = Promise.resolve();

  private isClosing = false;

  constructor(
    private readonly options: replicaTask.ReplicaTaskOptions,
    private readonly handlers: replicaTask.ReplicaTaskHandlers,
    /** Called with each replica that is opened. */
    private readonly onOpened: (opened: replicaTask.ReplicaTask) => void = () => {},
  ) {}

  /** The replica that was opened last; `undefined` while the data folder could never be opened. */
  get task(): replicaTask.ReplicaTask | undefined {
    return this.opened;
  }

  /** Opens the data folder; one that cannot be opened is tried again later. */
  async start(): Promise<void> {
    await this.open();
    this.checkLater();
  }

  /** Stops the replica, also one that is just being opened again. */
  async close(): Promise<void> {
    this.isClosing = true;
    this.timer?.cancel();
    await this.reopening;
    await this.opened?.close();
  }

  private async open(): Promise<void> {
    // The replica applies the entries after its snapshot again.
    const options = { ...this.options, reportedIndex: this.opened?.reportedIndex };
    const opened = await replicaTask.ReplicaTask.open(options, this.handlers);
    if (opened.err) {
      logger.error('data folder cannot be used; the daemon continues without a replica', {
        reason: opened.val.message,
      });
      return;
    }
    this.opened = opened.val;
    this.onOpened(opened.val);
  }

  private checkLater(): void {
    this.timer = this.options.clock.setTimer(REOPEN_MILLISECONDS, () => {
      this.reopening = this.reopenWhenStopped();
    });
  }

  /** Never rejects, and always checks again later: no failure may leave the replica stopped for good. */
  private async reopenWhenStopped(): Promise<void> {
    const { opened } = this;
    if (opened === undefined || opened.isStopped) {
      await reportFailure('a stopped replica could not be closed', async () => opened?.close());
      await reportFailure('a replica could not be opened again', () => this.openUnlessClosing());
    }
    if (!this.isClosing) {
      this.checkLater();
    }
  }

  private async openUnlessClosing(): Promise<void> {
    if (!this.isClosing) {
      await this.open();
    }
  }
}

/** Logs the error of an operation; the caller goes on without its result. */
async function reportFailure(context: string, operation: () => Promise<void>): Promise<void> {
  try {
    await operation();
  } catch (error) {
    logger.error(context, { reason: (error as Error).message });
  }
}

const logger = new logging.Logger('control');

// A full disk has space again after seconds, and opening the replica reads the whole log.
const REOPEN_MILLISECONDS = 1_000;
