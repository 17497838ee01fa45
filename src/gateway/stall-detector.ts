import * as clock from '../clock';
import * as routing from '../routing';
import * as verdict from '../verdict';

interface ServerRecord {
  /** Attempts in flight. */
  attempts: number;
  /** When the server was last heard, or got its first attempt. */
  heardAt: number;
}

/**
 * Load pattern: a server falls silent without a reset, and every request that is sent over an open connection
 * waits until its deadline. A server from which nothing arrives while it has work is reported, so that a
 * probe on a new connection decides; its requests go on waiting until then. Time for which this process itself
 * stood still does not count: what arrived meanwhile has not been read yet.
 */
export class StallDetector {
  private readonly servers = new Map<string, ServerRecord>();

  private timer!: clock.Timer;

  constructor(
    private readonly time: clock.Clock,
    private readonly observer: Pick<routing.ServerObserver, 'attemptFailed'>,
  ) {
    this.planCheck();
  }

  /** An attempt was sent. */
  attemptSent(serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined) {
      this.servers.set(serverId, { attempts: 1, heardAt: this.time.monotonic() });
    } else {
      record.attempts += 1;
    }
  }

  /** Something arrived from a server. */
  dataReceived(serverId: string): void {
    const record = this.servers.get(serverId);
    if (record !== undefined) {
      record.heardAt = this.time.monotonic();
    }
  }

  /** An attempt ended in whatever way. */
  attemptEnded(serverId: string): void {
    const record = this.servers.get(serverId);
    if (record !== undefined) {
      record.attempts -= 1;
      if (record.attempts === 0) {
        this.servers.delete(serverId);
      }
    }
  }

  close(): void {
    this.timer.cancel();
  }

  private planCheck(): void {
    const dueAt = this.time.monotonic() + CHECK_MILLISECONDS;
    this.timer = this.time.setTimer(CHECK_MILLISECONDS, () => {
      this.check(Math.max(0, this.time.monotonic() - dueAt));
      this.planCheck();
    });
  }

  /** @param late time for which this process did not get to its timers, nor to what had arrived */
  private check(late: number): void {
    const now = this.time.monotonic();
    this.servers.forEach((known, serverId) => {
      const record = known;
      record.heardAt += late;
      if (now - record.heardAt >= SILENCE_MILLISECONDS) {
        record.heardAt = now;
        this.observer.attemptFailed(serverId, SILENT);
      }
    });
  }
}

const SILENT = verdict.failure(
  verdict.FailureReason.Timeout,
  verdict.Verdict.MayHaveRun,
  'Nothing arrives from the backend server although it has work.',
);

const CHECK_MILLISECONDS = 100;

/** Above the usual time to a first token; a probe of a server that is only slow costs little. */
const SILENCE_MILLISECONDS = 700;
