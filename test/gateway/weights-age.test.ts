import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as registerStore from '../../src/control/register-store';
import * as weightsAge from '../../src/gateway/weights-age';

const suite = uvu.suite('age of weights');

// Guards against an engine that comes back with old weights and draws requests because it looks idle.
suite('an older version gets no work once its successor was named long enough ago', () => {
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

suite('a daemon that has just started counts from the time at which the version was named', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  assert.is(age.minimumVersion('desk', { version: 2, namedAt: time.now() - 7_000 }), '2');
});

// Guards against versions that follow each other faster than the grace, which kept it from ever ending.
suite('a version counts from its own naming although newer ones follow', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const minimums = [1, 2, 3, 4].map((version) => {
    const minimum = age.minimumVersion('desk', { version, namedAt: time.now() });
    time.advance(4_000);
    return minimum;
  });
  assert.equal(minimums, [undefined, undefined, '1', '2']);
});

// Guards against a daemon that starts between two namings and knows only the later one.
suite('a daemon that has just started knows the earlier versions too', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const first = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 2, time.now() - 7_000);
  const second = control.setDesiredWeights(first, 'desk', 3, time.now() - 1_000);
  assert.is(age.minimumVersion('desk', second.weights.get('desk')), '2');
});

// Guards against a check that comes a whole grace after a daemon has learned of a version.
suite('a change is due from the moment at which the grace since the naming ends', () => {
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

// Guards against a daemon that learns of a burst at once and lacks the one version whose grace is over.
suite('a burst of namings leaves the version known whose grace is over', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const register = [7_000, 1_000, 900, 800, 700, 600].reduce(
    (named, ago, index) => control.setDesiredWeights(named, 'desk', index + 2, time.now() - ago),
    control.EMPTY_REGISTER,
  );
  assert.is(age.minimumVersion('desk', register.weights.get('desk')), '2');
});

// Guards against a register that grows with each naming, and against a bound on it that hides an old one.
suite(
  'whatever the namings were, a daemon that starts late knows the oldest version in use',
  () => {
    const gap = fastCheck.oneof(fastCheck.nat(9), fastCheck.nat(400), fastCheck.nat(90_000));
    const gaps = fastCheck.array(gap, { minLength: 1, maxLength: 200, size: 'max' });
    fastCheck.assert(
      fastCheck.property(gaps, fastCheck.nat(20_000), (between, wait) => {
        const namings = namingsAfter(between);
        const named = namings
          .reduce(
            (state, { version, namedAt }) =>
              control.setDesiredWeights(state, 'desk', version, namedAt),
            control.EMPTY_REGISTER,
          )
          .weights.get('desk')!;
        const time = new clock.ManualClock(named.namedAt + wait);
        const oldEnough = (grace: number) =>
          namings.filter(({ namedAt }) => time.now() - namedAt >= grace).at(-1)?.version ?? 0;
        const found = Number(
          new weightsAge.WeightsAge(time, 6_000).minimumVersion('desk', named) ?? 0,
        );
        assert.ok(found >= oldEnough(6_000));
        assert.ok(found <= oldEnough(6_000 - control.DESIRED_VERSION_SPACING_MILLISECONDS));
        const bound =
          control.DESIRED_VERSION_RETENTION_MILLISECONDS /
          control.DESIRED_VERSION_SPACING_MILLISECONDS;
        assert.ok((named.earlier ?? []).length <= bound + 2);
      }),
      { seed: 14, numRuns: 300 },
    );
  },
);

// Guards against a wall clock ahead of the daemon's own, at the leader, that hides a suspension.
suite('a suspension counts although the clocks of two VMs differ', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const named = { version: 2, namedAt: time.now() + 3_000 };
  assert.is(age.minimumVersion('desk', named), undefined);
  time.suspend(6_000);
  assert.is(age.minimumVersion('desk', named), '2');
});

// Guards against a wall clock that is set back and puts weights in use again that were out of use.
suite('a clock that is set back does not bring older weights back', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const named = { version: 2, namedAt: time.now() - 7_000 };
  assert.is(age.minimumVersion('desk', named), '2');
  time.suspend(-5_000);
  assert.is(age.minimumVersion('desk', named), '2');
});

// Guards against a daemon that learns of a version late and counts anew when its clock is set back after that.
suite('a clock that is set back makes no version younger that was learned late', () => {
  const time = new clock.ManualClock(10_000);
  const age = new weightsAge.WeightsAge(time, 6_000);
  const named = { version: 2, namedAt: time.now() - 5_000 };
  assert.is(age.minimumVersion('desk', named), undefined);
  time.suspend(-5_000);
  time.advance(1_000);
  assert.is(age.minimumVersion('desk', named), '2');
});

suite('a version is superseded since the first newer one was named', () => {
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

// Guards against a leader whose clock was ahead: its log dates all namings alike until the true time has caught up.
suite('namings that a log dates alike leave the version known whose grace is over', () => {
  const time = new clock.ManualClock();
  const replica = new registerStore.RegisterStore(time);
  const ahead = time.now() + 3_600_000;
  [2, 3, 4, 5].reduce((register, version) => {
    time.advance(4_000);
    const named = control.setDesiredWeights(register, 'desk', version, ahead);
    replica.applyIfNewer(named);
    return named;
  }, control.EMPTY_REGISTER);
  const late = new registerStore.RegisterStore(time);
  late.applyIfNewer(control.decodeRegister(replica.encode()));
  const age = new weightsAge.WeightsAge(time, 6_000);
  assert.is(age.minimumVersion('desk', late.current.weights.get('desk')), '3');
});

function namingsAfter(gaps: readonly number[]): readonly control.DesiredVersion[] {
  let namedAt = 0;
  return gaps.map((gap, index) => {
    namedAt += gap;
    return { version: index + 1, namedAt };
  });
}

suite.run();
