import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as registerStore from '../../src/control/register-store';
import * as weightsAge from '../../src/gateway/weights-age';

const suite = uvu.suite('age of weights');

// Guards against an engine that returns with old weights and attracts requests because it looks idle.
suite('an older version gets no requests after the grace time of its successor', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const second = { version: 2, namedAt: time.now() };
  assert.is(age.minimumVersion('desk', undefined), undefined);
  assert.is(age.minimumVersion('desk', second), undefined);
  time.advance(6_000);
  assert.is(age.minimumVersion('desk', second), '2');
  const third = { version: 3, namedAt: time.now() };
  assert.is(age.minimumVersion('desk', third), '2');
});

suite(
  'a new daemon counts the grace time from the setting of the version, not from its own start',
  () => {
    const time = new clock.ManualClock();
    const age = new weightsAge.WeightsAge(time, 6_000);
    assert.is(age.minimumVersion('desk', { version: 2, namedAt: time.now() - 7_000 }), '2');
  },
);

// Guards against a grace time that never ends because new versions are set faster than it lasts.
suite('newer versions do not restart the grace time of a version', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const minimums = [1, 2, 3, 4].map((version) => {
    const minimum = age.minimumVersion('desk', { version, namedAt: time.now() });
    time.advance(4_000);
    return minimum;
  });
  assert.equal(minimums, [undefined, undefined, '1', '2']);
});

// Guards against a daemon that starts after two versions were set and knows only the later one.
suite('a new daemon also knows earlier versions', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const first = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 2, time.now() - 7_000);
  const second = control.setDesiredWeights(first, 'desk', 3, time.now() - 1_000);
  assert.is(age.minimumVersion('desk', second.weights.get('desk')), '2');
});

// Guards against a check that is due a whole grace time after the daemon has learned of a version.
suite('a change is due as soon as the grace time since the setting of a version ends', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  assert.not(age.isChangeDue());
  age.minimumVersion('desk', { version: 2, namedAt: time.now() - 4_000 });
  assert.not(age.isChangeDue());
  time.advance(1_999);
  assert.not(age.isChangeDue());
  time.advance(1);
  assert.ok(age.isChangeDue());
  age.minimumVersion('desk', undefined);
  assert.not(age.isChangeDue());
});

// Guards against a daemon that learns of many versions at once and misses the one whose grace time has ended.
suite('a burst of versions does not hide the one whose grace time has ended', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const register = [7_000, 1_000, 900, 800, 700, 600].reduce(
    (desired, ago, index) =>
      control.setDesiredWeights(desired, 'desk', index + 2, time.now() - ago),
    control.EMPTY_REGISTER,
  );
  assert.is(age.minimumVersion('desk', register.weights.get('desk')), '2');
});

// Guards against a register that grows with each version, and against a limit on it that hides an old one.
suite('whatever versions were set, a daemon that starts late knows the oldest one in use', () => {
  const gap = fastCheck.oneof(fastCheck.nat(9), fastCheck.nat(400), fastCheck.nat(90_000));
  const gaps = fastCheck.array(gap, { minLength: 1, maxLength: 200, size: 'max' });
  fastCheck.assert(
    fastCheck.property(gaps, fastCheck.nat(20_000), (between, wait) => {
      const versions = versionsAfter(between);
      const desired = versions
        .reduce(
          (state, { version, namedAt }) =>
            control.setDesiredWeights(state, 'desk', version, namedAt),
          control.EMPTY_REGISTER,
        )
        .weights.get('desk')!;
      const time = new clock.ManualClock(desired.namedAt + wait);
      const oldEnough = (grace: number) =>
        versions.filter(({ namedAt }) => time.now() - namedAt >= grace).at(-1)?.version ?? 0;
      const found = Number(
        new weightsAge.WeightsAge(time, 6_000).minimumVersion('desk', desired) ?? 0,
      );
      assert.ok(found >= oldEnough(6_000));
      assert.ok(found <= oldEnough(6_000 - control.DESIRED_VERSION_SPACING_MILLISECONDS));
      const bound =
        control.DESIRED_VERSION_RETENTION_MILLISECONDS /
        control.DESIRED_VERSION_SPACING_MILLISECONDS;
      assert.ok((desired.earlier ?? []).length <= bound + 2);
    }),
    { seed: 14, numRuns: 300 },
  );
});

// Guards against a suspension that is not counted because the leader's wall clock is ahead of the daemon's.
suite('a suspension is counted although the clocks of two VMs differ', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const desired = { version: 2, namedAt: time.now() + 3_000 };
  assert.is(age.minimumVersion('desk', desired), undefined);
  time.suspend(6_000);
  assert.is(age.minimumVersion('desk', desired), '2');
});

// Guards against a wall clock that is set back, after which older weights get requests again.
suite('a clock that is set back does not bring older weights back into use', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const desired = { version: 2, namedAt: time.now() - 7_000 };
  assert.is(age.minimumVersion('desk', desired), '2');
  time.suspend(-5_000);
  assert.is(age.minimumVersion('desk', desired), '2');
});

// Guards against a daemon that learns of a version late and restarts its grace time when the clock is set back.
suite('a clock that is set back does not reduce the age of a version that was learned late', () => {
  const time = new clock.ManualClock(10_000);
  const age = new weightsAge.WeightsAge(time, 6_000);
  const desired = { version: 2, namedAt: time.now() - 5_000 };
  assert.is(age.minimumVersion('desk', desired), undefined);
  time.suspend(-5_000);
  time.advance(1_000);
  assert.is(age.minimumVersion('desk', desired), '2');
});

suite('a version counts as superseded from the setting of the first newer one', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const first = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 2, time.now() - 4_000);
  const second = control.setDesiredWeights(first, 'desk', 3, time.now() - 1_000);
  const superseded = () => ['1', '2', '3'].map((own) => age.supersededMilliseconds('desk', own));
  age.minimumVersion('desk', second.weights.get('desk'));
  assert.equal(superseded(), [4_000, 1_000, undefined]);
  time.advance(3_000);
  age.minimumVersion('desk', undefined);
  assert.equal(superseded(), [7_000, 4_000, undefined]);
});

// Guards against a leader whose clock was ahead: until the true time passes it, its log gives all versions one date.
suite(
  'versions with the same date in the log do not hide the one whose grace time has ended',
  () => {
    const time = new clock.ManualClock();
    const replica = new registerStore.RegisterStore(time);
    const ahead = time.now() + 3_600_000;
    [2, 3, 4, 5].reduce((register, version) => {
      time.advance(4_000);
      const desired = control.setDesiredWeights(register, 'desk', version, ahead);
      replica.applyIfNewer(desired);
      return desired;
    }, control.EMPTY_REGISTER);
    const late = new registerStore.RegisterStore(time);
    late.applyIfNewer(control.decodeRegister(replica.encode()));
    const age = new weightsAge.WeightsAge(time, 6_000);
    assert.is(age.minimumVersion('desk', late.current.weights.get('desk')), '3');
  },
);

function versionsAfter(gaps: readonly number[]): readonly control.DesiredVersion[] {
  let namedAt = 0;
  return gaps.map((gap, index) => {
    namedAt += gap;
    return { version: index + 1, namedAt };
  });
}

suite.run();
