import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as logging from '../../src/logging';

const suite = uvu.suite('limits of notices');

// Guards against a log that repeated or ever new notices fill.
suite('a notice is admitted once in a period, and only so many different ones', () => {
  let now = 0;
  const limits = { periodMilliseconds: 1_000, notices: 2 };
  const limiter = new logging.NoticeLimiter(() => now, limits);
  const admitted = () => ['a', 'a', 'b', 'c'].map((notice) => limiter.admits(notice));
  assert.equal(admitted(), [true, false, true, false]);
  now = 999;
  assert.equal(admitted(), [false, false, false, false]);
  now = 1_000;
  assert.equal(admitted(), [true, false, true, false]);
});

suite.run();
