import * as clock from '../clock';
import * as logging from '../logging';
import * as metrics from './metrics';

/** Resource usage of this process, as the operating system reports it. */
export interface ProcessUsage {
  /** Processor time since the start, in milliseconds. */
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
}

/**
 * Measures whether the process keeps up with its load: the lateness of its timers, its processor time and its
 * memory. Requests that wait in the socket buffers of an overloaded process appear in no request histogram.
 */
export class ProcessMonitor {
  private timer: clock.Timer;

  private expectedAt = 0;

  private windowStart: number;

  private previousProcessorMilliseconds: number;

  private maximumLateness = 0;

  constructor(
    private readonly time: clock.Clock,
    private readonly meter: metrics.Metrics,
    private readonly usage: () => ProcessUsage,
  ) {
    this.windowStart = time.monotonic();
    this.previousProcessorMilliseconds = usage().processorMilliseconds;
    this.timer = this.schedule();
  }

  close(): void {
    this.timer.cancel();
  }

  private schedule(): clock.Timer {
    this.expectedAt = this.time.monotonic() + SAMPLE_MILLISECONDS;
    return this.time.setTimer(SAMPLE_MILLISECONDS, () => this.sample());
  }

  private sample(): void {
    const now = this.time.monotonic();
    this.maximumLateness = Math.max(this.maximumLateness, now - this.expectedAt);
    if (now - this.windowStart >= WINDOW_MILLISECONDS) {
      this.report(now);
    }
    this.timer = this.schedule();
  }

  private report(now: number): void {
    const { processorMilliseconds, residentBytes } = this.usage();
    const used = processorMilliseconds - this.previousProcessorMilliseconds;
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
    if (lateness > OVERLOAD_LATENESS_MILLISECONDS) {
      logger.warning('process is overloaded: its timers fire late', fields);
    } else {
      logger.information('process keeps up with its load', fields);
    }
    this.windowStart = now;
    this.previousProcessorMilliseconds = processorMilliseconds;
    this.maximumLateness = 0;
  }
}

/**
 * Resource usage of the running process.
 *
 * @example
 * new ProcessMonitor(time, meter, processUsage);
 */
export function processUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    processorMilliseconds: (user + system) / MICROSECONDS_PER_MILLISECOND,
    residentBytes: process.memoryUsage.rss(),
  };
}

const logger = new logging.Logger('process');

/** Each sample wakes the process, also while it is idle. */
const SAMPLE_MILLISECONDS = 500;

/** One line and three gauges every 5 s are far below the limit on log lines. */
const WINDOW_MILLISECONDS = 5_000;

/** A quarter of the shortest time to a first token that callers expect. */
const OVERLOAD_LATENESS_MILLISECONDS = 100;

const MICROSECONDS_PER_MILLISECOND = 1_000;

const BYTES_PER_MEGABYTE = 1_000_000;
