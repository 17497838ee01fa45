import * as clock from '../clock';
import * as logging from '../logging';
import * as metrics from './metrics';

/** What the operating system says of this process. */
export interface ProcessUsage {
  /** Processor time since the start, in milliseconds. */
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
}

/**
 * Measures whether a process keeps up with its work: how late its timers fire and what it uses. Requests that
 * wait in socket buffers of a process that falls behind show in no histogram of requests.
 */
export class ProcessMonitor {
  private timer: clock.Timer;

  private expectedAt = 0;

  private windowStart: number;

  private usedBefore: number;

  private maximumLateness = 0;

  constructor(
    private readonly time: clock.Clock,
    private readonly meter: metrics.Metrics,
    private readonly usage: () => ProcessUsage,
  ) {
    this.windowStart = time.monotonic();
    this.usedBefore = usage().processorMilliseconds;
    this.timer = this.plan();
  }

  close(): void {
    this.timer.cancel();
  }

  private plan(): clock.Timer {
    this.expectedAt = this.time.monotonic() + SAMPLE_MILLISECONDS;
    return this.time.setTimer(SAMPLE_MILLISECONDS, () => this.sample());
  }

  private sample(): void {
    const now = this.time.monotonic();
    this.maximumLateness = Math.max(this.maximumLateness, now - this.expectedAt);
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.report(now);
    }
    this.timer = this.plan();
  }

  private report(now: number): void {
    const { processorMilliseconds, residentBytes } = this.usage();
    const used = processorMilliseconds - this.usedBefore;
    const lateness = Math.round(this.maximumLateness);
    this.meter.set(metrics.Gauge.TimerLateness, lateness);
    this.meter.set(metrics.Gauge.ProcessorTime, processorMilliseconds);
    this.meter.set(metrics.Gauge.ResidentBytes, residentBytes);
    const fields = {
      windowMilliseconds: Math.round(now - this.windowStart),
      maximumLatenessMilliseconds: lateness,
      processorMilliseconds: Math.round(used),
      residentMegabytes: Math.round(residentBytes / BYTES_PER_MEGABYTE),
    };
    if (lateness > BEHIND_MILLISECONDS) {
      logger.warning('process falls behind its work', fields);
    } else {
      logger.information('process keeps up with its work', fields);
    }
    this.windowStart = now;
    this.usedBefore = processorMilliseconds;
    this.maximumLateness = 0;
  }
}

/**
 * Usage of the running process.
 *
 * @example
 * new ProcessWatch(time, meter, processUsage);
 */
export function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    processorMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
    residentBytes: process.memoryUsage.rss(),
  };
}

const logger = new logging.Logger('process');

const SAMPLE_MILLISECONDS = 100;

/** A line and three gauges each 5 s stay far below the budget of lines. */
const WINDOW_MILLISECONDS = 5_000;

/** A quarter of the shortest time to a first token that callers expect. */
const BEHIND_MILLISECONDS = 100;

const MICROSECONDS_PER_MILLISECOND = 1_000;

const BYTES_PER_MEGABYTE = 1_000_000;
