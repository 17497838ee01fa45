import * as clock from '../clock';
import * as logging from '../logging';
import * as metrics from '../metrics';
import type * as garbageCollector from './garbage-collector';
import type * as memoryAccount from './memory-account';
import * as memoryLimits from './memory-limits';
import * as memoryKind from './memory-kind';

/** Dependencies of the watch. */
export interface WatchPorts {
  readonly account: memoryAccount.MemoryAccount;
  readonly time: clock.Clock;
  readonly meter: metrics.Metrics;
  /** Resident memory of the process, in bytes. */
  readonly residentBytes: () => number;
  readonly garbage: garbageCollector.GarbageCollector;
}

/**
 * Compares the resident memory of the process with a limit. V8 does not know how little memory the VM has, and lets garbage grow
 * until the platform ends the process. Near the limit it is collected; while that does not help, the account admits less.
 */
export class MemoryWatch {
  private timer: clock.Timer;

  private collectedAt = Number.NEGATIVE_INFINITY;

  private collectedFullyAt = Number.NEGATIVE_INFINITY;

  /** Resident memory after the last collection, or what is left of it since. */
  private collectedBytes = 0;

  private reportedAt = Number.NEGATIVE_INFINITY;

  private collectingMilliseconds = 0;

  private loggedAt = Number.NEGATIVE_INFINITY;

  private isNear = false;

  constructor(
    private readonly ports: WatchPorts,
    private nearLimitBytes: number,
  ) {
    this.timer = this.schedule();
    ports.account.onReceived(() => this.check());
  }

  /**
   * Records that the process is ready and has no requests. A limit that this exceeds would never be left again; it is raised, but not
   * to the size of the VM.
   */
  noteIdle(): void {
    const vmBytes = this.nearLimitBytes / memoryLimits.NEAR_LIMIT_SHARE;
    const wanted = Math.min(
      this.ports.residentBytes() + IDLE_MARGIN_BYTES,
      vmBytes * HIGHEST_SHARE,
    );
    this.nearLimitBytes = Math.max(this.nearLimitBytes, wanted);
  }

  close(): void {
    this.ports.account.onReceived();
    this.timer.cancel();
  }

  private schedule(): clock.Timer {
    return this.ports.time.setTimer(SAMPLE_MILLISECONDS, () => this.sample());
  }

  private sample(): void {
    this.check();
    this.report();
    this.timer = this.schedule();
  }

  private check(): void {
    const { account, residentBytes } = this.ports;
    const before = residentBytes();
    this.collectedBytes = Math.min(this.collectedBytes, before);
    if (before >= this.nearLimitBytes && before >= this.collectedBytes + this.growthBytes) {
      this.collect();
    }
    const bytes = residentBytes();
    const isNear = bytes >= this.nearLimitBytes * (this.isNear ? LEAVE_SHARE : 1);
    if (isNear !== this.isNear) {
      this.log(isNear, bytes);
    }
    this.isNear = isNear;
    account.isShort = isNear;
  }

  private get growthBytes(): number {
    return Math.min(GROWTH_BYTES, this.nearLimitBytes * GROWTH_SHARE);
  }

  private log(isNear: boolean, bytes: number): void {
    const now = this.ports.time.monotonic();
    if (now - this.loggedAt >= REPORT_MILLISECONDS) {
      this.loggedAt = now;
      logger.information(isNear ? 'memory is short' : 'memory is no longer short', {
        residentMegabytes: Math.round(bytes / BYTES_PER_MEGABYTE),
        heldMegabytes: Math.round(this.ports.account.total / BYTES_PER_MEGABYTE),
      });
    }
  }

  /** Collections take a small part of the processor's time, however long one is. */
  private collect(): void {
    const { residentBytes, garbage, time } = this.ports;
    const now = time.monotonic();
    if (now - this.collectedAt < this.collectingMilliseconds * COLLECT_DISTANCE) {
      return;
    }
    if (now - this.collectedFullyAt < COLLECT_MILLISECONDS) {
      garbage.collectRecent();
    } else {
      garbage.collectAll();
      this.collectedFullyAt = now;
    }
    this.collectedAt = time.monotonic();
    this.collectingMilliseconds = this.collectedAt - now;
    this.collectedBytes = residentBytes();
  }

  private report(): void {
    const { account, meter, time } = this.ports;
    if (time.monotonic() - this.reportedAt >= REPORT_MILLISECONDS) {
      this.reportedAt = time.monotonic();
      GAUGES.forEach((gauge, kind) => meter.set(gauge, account.held(kind)));
    }
  }
}

const logger = new logging.Logger('memory');

/** A link of 1 Gbit/s brings 12 MB in this time, which the free part of the smallest VM takes. */
const SAMPLE_MILLISECONDS = 100;

/** A full collection takes tens of milliseconds, in which the process does nothing else. */
const COLLECT_MILLISECONDS = 1_000;

/** Memory that did not become free is not worth another collection until there is more. */
const GROWTH_BYTES = 8_000_000;

/** On a small VM less memory is left above the limit. */
const GROWTH_SHARE = 0.06;

/** Times the duration of a collection, until the next one. */
const COLLECT_DISTANCE = 20;

/** A limit that was reached is left at 80% of the VM's memory. */
const LEAVE_SHARE = 0.8 / memoryLimits.NEAR_LIMIT_SHARE;

/** Twice the largest body. */
const IDLE_MARGIN_BYTES = 8_000_000;

const HIGHEST_SHARE = 0.96;

const REPORT_MILLISECONDS = 1_000;

const BYTES_PER_MEGABYTE = 1_000_000;

const { MemoryKind } = memoryKind;

const GAUGES = new Map([
  [MemoryKind.Connections, metrics.Gauge.ConnectionBytes],
  [MemoryKind.Heads, metrics.Gauge.HeadBytes],
  [MemoryKind.UnfinishedBodies, metrics.Gauge.UnfinishedBodyBytes],
  [MemoryKind.Requests, metrics.Gauge.RequestBytes],
  [MemoryKind.Answers, metrics.Gauge.AnswerBytes],
  [MemoryKind.Events, metrics.Gauge.EventBytes],
]);
