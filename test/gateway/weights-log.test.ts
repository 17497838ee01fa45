import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as weightsAge from '../../src/gateway/weights-age';
import * as weightsLog from '../../src/gateway/weights-log';
import * as capturedLog from '../support/captured-log';

const suite = uvu.suite('log of weights');

/** Learns of version 3 when it is 2 s old, and checks it every second for 60 s. */
function watchForAMinute(): void {
  const time = new clock.ManualClock();
  const ages = new weightsAge.WeightsAge(time, 6_000);
  const log = new weightsLog.WeightsLog();
  const desired = { version: 3, namedAt: time.now() - 2_000 };
  for (let second = 0; second < 60; second += 1) {
    log.logChanges('desk', { desired: '3', minimum: ages.minimumVersion('desk', desired) }, ages);
    time.advance(1_000);
  }
}

// Guards against a log that does not separate a daemon that did not know a version from one that used old weights.
suite('the log shows when a version was learned and how old it was', async () => {
  const lines = await capturedLog.linesOf('weights version learned', watchForAMinute);
  assert.is(lines.length, 1);
  const [{ model, weightsVersion, ageMilliseconds }] = lines;
  assert.equal(
    { model, weightsVersion, ageMilliseconds },
    {
      model: 'desk',
      weightsVersion: '3',
      ageMilliseconds: 2_000,
    },
  );
});

// Guards against a line for each check, which would displace the lines of requests.
suite('the log shows only once that older weights get no more requests', async () => {
  const lines = await capturedLog.linesOf(
    'oldest weights version that gets requests changed',
    watchForAMinute,
  );
  assert.is(lines.length, 1);
  const [{ weightsVersion, ageMilliseconds, ageWhenLearnedMilliseconds }] = lines;
  assert.equal(
    { weightsVersion, ageMilliseconds, ageWhenLearnedMilliseconds },
    {
      weightsVersion: '3',
      ageMilliseconds: 6_000,
      ageWhenLearnedMilliseconds: 2_000,
    },
  );
});

suite.run();
