import * as clock from '../clock';
import * as logging from '../logging';
import * as metrics from '../metrics';
import type * as garbageCollector from './garbage-collector';
import type * as memoryAccount from './memory-account';
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

  /** Resident memory after the last full collection, or what is left of it since. */
  private collectedBytes = 0;

  private reportedAt = Number.NEGATIVE_INFINITY;

  private isNear = false;

  constructor(
    private readonly ports: WatchPorts,
    private readonly nearLimitBytes: number,
  ) {
    this.timer = this.schedule();
    ports.account.onReceived(() => this.check());
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
    if (before >= this.nearLimitBytes && before >= this.collectedBytes + GROWTH_BYTES) {
      this.collect();
    }
    const bytes = residentBytes();
    const isNear = bytes >= this.nearLimitBytes;
    if (isNear !== this.isNear) {
      logger.information(isNear ? 'memory is short' : 'memory is no longer short', {
        residentMegabytes: Math.round(bytes / BYTES_PER_MEGABYTE),
        heldMegabytes: Math.round(account.total / BYTES_PER_MEGABYTE),
      });
    }
    this.isNear = isNear;
    account.isShort = isNear;
  }

  private collect(): void {
    const { residentBytes, garbage, time } = this.ports;
    const now = time.monotonic();
    if (now - this.collectedAt < COLLECT_MILLISECONDS) {
      garbage.collectRecent();
      return;
    }
    garbage.collectAll();
    this.collectedAt = now;
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
const GROWTH_BYTES = 4_000_000;

const REPORT_MILLISECONDS = 1_000;

const BYTES_PER_MEGABYTE = 1_000_000;

const { MemoryKind } = memoryKind;

const GAUGES = new Map([
  [MemoryKind.Heads, metrics.Gauge.HeadBytes],
  [MemoryKind.UnfinishedBodies, metrics.Gauge.UnfinishedBodyBytes],
  [MemoryKind.Requests, metrics.Gauge.RequestBytes],
  [MemoryKind.Answers, metrics.Gauge.AnswerBytes],
  [MemoryKind.Events, metrics.Gauge.EventBytes],
]);
