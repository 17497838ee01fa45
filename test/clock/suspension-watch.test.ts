import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';

const suite = uvu.suite('watch for suspensions');

// Guards against a lease that is counted on a clock that leaves out the time in which others took over.
suite('a suspension is noticed once, at the time of the first look after it', () => {
  const time = new clock.ManualClock(10_000);
  const watch = new clock.SuspensionDetector(time);
  time.advance(1_000);
  assert.is(watch.lastDetectedAt(), Number.NEGATIVE_INFINITY);
  time.suspend(5_000);
  time.advance(10);
  assert.is(watch.lastDetectedAt(), 11_010);
  time.advance(1_000);
  assert.is(watch.lastDetectedAt(), 11_010);
});

suite('short suspensions add up', () => {
  const time = new clock.ManualClock();
  const watch = new clock.SuspensionDetector(time);
  const noticed = [30, 30].map((milliseconds) => {
    time.suspend(milliseconds);
    return watch.lastDetectedAt();
  });
  assert.equal(noticed, [Number.NEGATIVE_INFINITY, 0]);
});

suite('a suspension is noticed after the clock was set back', () => {
  const time = new clock.ManualClock();
  const watch = new clock.SuspensionDetector(time);
  time.suspend(-60_000);
  assert.is(watch.lastDetectedAt(), Number.NEGATIVE_INFINITY);
  time.suspend(1_000);
  assert.is(watch.lastDetectedAt(), 0);
});

suite.run();
