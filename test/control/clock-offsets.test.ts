import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as clockOffsets from '../../src/control/clock-offsets';
import * as registerStore from '../../src/control/register-store';
import * as control from '../../src/control';

const suite = uvu.suite('clock offsets');

const LEADER = '10.0.0.2:7340';
const HOUR_MILLISECONDS = 3_600_000;

/** Guards against ages that include the difference between two clocks. */
suite('a clock that is ahead is seen in the heartbeats', () => {
  const offsets = new clockOffsets.ClockOffsets();
  offsets.record(LEADER, 1_000, 1_008 + HOUR_MILLISECONDS);
  assert.is(offsets.offsetTo(LEADER), HOUR_MILLISECONDS + 8);
  assert.is(offsets.offsetTo('10.0.0.3:7340'), 0);
  assert.is(offsets.offsetTo(undefined), 0);
});

/** Guards against a suspended VM that takes the time its messages waited for a difference of clocks. */
suite('heartbeats that waited during a suspension do not change the offset', () => {
  const offsets = new clockOffsets.ClockOffsets();
  offsets.record(LEADER, 1_000, 1_001);
  [2_000, 3_000, 4_000, 5_000].forEach((sentAt) => offsets.record(LEADER, sentAt, 6_000));
  assert.is(offsets.offsetTo(LEADER), 1);
});

/** Guards against a step of a clock that is never noticed. */
suite('after a step of the clock the offset follows within some heartbeats', () => {
  const offsets = new clockOffsets.ClockOffsets();
  offsets.record(LEADER, 0, 0);
  for (let sentAt = 1; sentAt <= 12; sentAt += 1) {
    offsets.record(LEADER, sentAt, sentAt + HOUR_MILLISECONDS);
  }
  assert.is(offsets.offsetTo(LEADER), HOUR_MILLISECONDS);
});

/** Guards against versions whose time moves when the leadership passes to a VM with another clock. */
suite('the offset of a later leader does not change the time of a version that is known', () => {
  const store = new registerStore.RegisterStore(new clock.SystemClock());
  const namedAt = Date.now() - 5_000;
  const first = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk', 2, namedAt);
  store.applyIfNewer(first);
  store.applyIfNewer(control.putRouting(first, { version: 1, text: 'one' }), -HOUR_MILLISECONDS);
  assert.is(store.current.weights.get('desk')?.namedAt, namedAt);
});

suite.run();
