import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as metrics from '../metrics';

/** Dependencies of the monitor. */
export interface CopyMonitorPorts {
  readonly plane: Pick<control.ControlPlane, 'copyAgeMilliseconds' | 'configuration' | 'register'>;
  readonly meter: metrics.Metrics;
  readonly time: clock.Clock;
}

/**
 * Reports how old this daemon's copy of the configuration may be: as a gauge, and in the log when the copy stops or starts
 * to be known as recent.
 */
export class CopyMonitor {
  private timer: clock.Timer | undefined;

  private wasRecent: boolean | undefined;

  /** @param limitMilliseconds age from which a copy is not recent */
  constructor(
    private readonly ports: CopyMonitorPorts,
    private readonly limitMilliseconds: number,
  ) {
    this.sample();
  }

  close(): void {
    this.timer?.cancel();
  }

  private sample(): void {
    const { plane, meter, time } = this.ports;
    const age = plane.copyAgeMilliseconds();
    const isRecent = age < this.limitMilliseconds;
    meter.set(metrics.Gauge.CopyAge, Number.isFinite(age) ? Math.round(age) : UNKNOWN_AGE);
    meter.set(metrics.Gauge.RoutingVersion, plane.register().routing?.version ?? 0);
    meter.set(metrics.Gauge.Revision, plane.configuration().revision);
    if (isRecent !== this.wasRecent && (isRecent || this.wasRecent !== undefined)) {
      this.log(isRecent, age);
      this.wasRecent = isRecent;
    }
    this.timer = time.setTimer(SAMPLE_MILLISECONDS, () => this.sample());
  }

  private log(isRecent: boolean, age: number): void {
    const { plane } = this.ports;
    const fields = {
      copyAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : undefined,
      routingVersion: plane.register().routing?.version,
      revision: plane.configuration().revision,
    };
    if (isRecent) {
      logger.information('copy of the configuration is known to be recent', fields);
    } else {
      logger.warning('copy of the configuration may be outdated', fields);
    }
  }
}

const logger = new logging.Logger('control');

const SAMPLE_MILLISECONDS = 1_000;

/** Shown by the gauge while the age is unknown. */
const UNKNOWN_AGE = -1;
