import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';

const suite = uvu.suite('suspension detector');

// Guards against a lease whose clock excludes a suspension during which another holder took over.
suite('a suspension is detected once, at the time of the first check after it', () => {
  const time = new clock.ManualClock(10_000);
  const detector = new clock.SuspensionDetector(time);
  time.advance(1_000);
  assert.is(detector.lastDetectedAt(), Number.NEGATIVE_INFINITY);
  time.suspend(5_000);
  time.advance(10);
  assert.is(detector.lastDetectedAt(), 11_010);
  time.advance(1_000);
  assert.is(detector.lastDetectedAt(), 11_010);
});

suite('short suspensions add up', () => {
  const time = new clock.ManualClock();
  const detector = new clock.SuspensionDetector(time);
  const detected = [30, 30].map((milliseconds) => {
    time.suspend(milliseconds);
    return detector.lastDetectedAt();
  });
  assert.equal(detected, [Number.NEGATIVE_INFINITY, 0]);
});

suite('a suspension is detected after the clock was set back', () => {
  const time = new clock.ManualClock();
  const detector = new clock.SuspensionDetector(time);
  time.suspend(-60_000);
  assert.is(detector.lastDetectedAt(), Number.NEGATIVE_INFINITY);
  time.suspend(1_000);
  assert.is(detector.lastDetectedAt(), 0);
});

suite.run();
