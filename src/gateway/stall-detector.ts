import * as clock from '../clock';
import * as routing from '../routing';
import * as verdict from '../verdict';

interface ServerRecord {
  /** Attempts in flight. */
  attempts: number;
  /** When data last arrived from the server, or its first attempt was sent. */
  lastDataAt: number;
  /** Time without data after which the server is reported; it grows with each report until data arrives. */
  patienceMilliseconds: number;
}

/**
 * Load pattern: a server stops responding without a connection reset, and every request on an open connection waits
 * until its deadline. A server from which nothing arrives while it has attempts in flight is reported, so that a probe
 * on a new connection decides whether it is dead; until then its requests keep waiting. Time in which this process
 * itself was not running does not count, because data that arrived meanwhile has not been read yet.
 */
export class StallDetector {
  private readonly servers = new Map<string, ServerRecord>();

  /** Absent while no attempt is in flight. */
  private timer: clock.Timer | undefined;

  constructor(
    private readonly time: clock.Clock,
    private readonly observer: Pick<routing.ServerObserver, 'attemptFailed'>,
  ) {}

  /** An attempt was sent. */
  attemptSent(serverId: string): void {
    const record = this.servers.get(serverId);
    if (record === undefined) {
      this.servers.set(serverId, {
        attempts: 1,
        lastDataAt: this.time.monotonic(),
        patienceMilliseconds: STALL_MILLISECONDS,
      });
      if (this.timer === undefined) {
        this.scheduleCheck();
      }
    } else {
      record.attempts += 1;
    }
  }

  /** Data arrived from a server. */
  dataReceived(serverId: string): void {
    const record = this.servers.get(serverId);
    if (record !== undefined) {
      record.lastDataAt = this.time.monotonic();
      record.patienceMilliseconds = STALL_MILLISECONDS;
    }
  }

  /** An attempt ended, with any outcome. */
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
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    const dueAt = this.time.monotonic() + CHECK_INTERVAL_MILLISECONDS;
    this.timer = this.time.setTimer(CHECK_INTERVAL_MILLISECONDS, () => {
      this.check(Math.max(0, this.time.monotonic() - dueAt));
      this.timer = undefined;
      if (this.servers.size > 0) {
        this.scheduleCheck();
      }
    });
  }

  /** @param lateness milliseconds for which this process could neither run its timers nor read data */
  private check(lateness: number): void {
    const now = this.time.monotonic();
    this.servers.forEach((entry, serverId) => {
      const record = entry;
      record.lastDataAt += lateness;
      if (now - record.lastDataAt >= record.patienceMilliseconds) {
        record.lastDataAt = now;
        record.patienceMilliseconds = Math.min(
          LONGEST_PATIENCE_MILLISECONDS,
          2 * record.patienceMilliseconds,
        );
        this.observer.attemptFailed(serverId, NO_DATA);
      }
    });
  }
}

const NO_DATA = verdict.failure(
  verdict.FailureReason.Timeout,
  verdict.Verdict.MayHaveRun,
  'Nothing arrives from the backend server although it has work.',
);

const CHECK_INTERVAL_MILLISECONDS = 100;

/** Above the usual time to the first token; a needless probe costs a connection. */
const STALL_MILLISECONDS = 700;

/** A server that has answered a probe and still sends nothing is probably busy, but it may stop later. */
const LONGEST_PATIENCE_MILLISECONDS = 2_800;
