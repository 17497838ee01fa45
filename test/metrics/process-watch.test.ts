import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as metrics from '../../src/metrics';
import * as recordingMetrics from '../support/recording-metrics';

/** A clock whose timers fire late, as in a process that gets too little processor time. */
class LateClock extends clock.ManualClock {
  latenessMilliseconds = 0;

  override setTimer(delayMilliseconds: number, callback: () => void): clock.Timer {
    return super.setTimer(delayMilliseconds + this.latenessMilliseconds, callback);
  }
}

const suite = uvu.suite('process monitor');

// Guards against requests that are delayed in socket buffers although logs and metrics show no delay.
suite('the largest lateness of a window is reported and reset in the next window', () => {
  const time = new LateClock();
  const meter = new recordingMetrics.RecordingMetrics();
  const usage = { processorMilliseconds: 0, residentBytes: 0 };
  const monitor = new metrics.ProcessMonitor(time, meter, () => usage);
  time.advance(1_000);
  time.latenessMilliseconds = 700;
  time.advance(1_000);
  time.latenessMilliseconds = 0;
  Object.assign(usage, { processorMilliseconds: 1_500, residentBytes: 90e6 });
  time.advance(4_500);
  assert.is(meter.gauges.get(metrics.Gauge.TimerLateness), 700);
  assert.is(meter.gauges.get(metrics.Gauge.ProcessorTime), 1_500);
  assert.is(meter.gauges.get(metrics.Gauge.ResidentBytes), 90e6);
  time.advance(6_000);
  assert.is(meter.gauges.get(metrics.Gauge.TimerLateness), 0);
  monitor.close();
});

suite.run();
