import * as clock from '../clock';
import * as logging from '../logging';

/** What a daemon knew when it lost or regained its links to the daemons with replicas; for the log. */
export type ContactFields = () => logging.LogFields;

/**
 * Which of the linked daemons have replicas. Without any, nothing new reaches this daemon, and an operator has to see since
 * when and with what it goes on.
 */
export class ReplicaContact {
  private readonly linked = new Set<string>();

  private lostAt: number | undefined;

  constructor(
    private readonly time: clock.Clock,
    private readonly fields: ContactFields,
  ) {}

  /** Whether a daemon with a replica has sent a heartbeat over a link that still exists. */
  get isLinked(): boolean {
    return this.linked.size > 0;
  }

  recordHeartbeat(address: string): void {
    const wasLinked = this.isLinked;
    this.linked.add(address);
    if (!wasLinked && this.lostAt !== undefined) {
      const milliseconds = Math.round(this.time.monotonic() - this.lostAt);
      logger.information('linked to a daemon with a replica again', {
        ...this.fields(),
        peer: address,
        unlinkedMilliseconds: milliseconds,
      });
      this.lostAt = undefined;
    }
  }

  recordLost(address: string): void {
    if (this.linked.delete(address) && !this.isLinked) {
      this.lostAt = this.time.monotonic();
      logger.warning('no link to any daemon with a replica', { ...this.fields(), peer: address });
    }
  }
}

const logger = new logging.Logger('control');
