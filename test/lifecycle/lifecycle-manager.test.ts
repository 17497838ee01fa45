import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as lifecycle from '../../src/lifecycle';

const suite = uvu.suite('lifecycle');

suite(
  'resources are closed in reverse order, so that none is used after its dependency is closed',
  async () => {
    const closed: string[] = [];
    const manager = new lifecycle.LifecycleManager(new clock.SystemClock());
    manager.register('socket', () => {
      closed.push('socket');
    });
    manager.register('task', () => {
      closed.push('task');
    });
    await manager.close();
    assert.equal(closed, ['task', 'socket']);
  },
);

suite('a resource that fails or hangs does not prevent the closing of the others', async () => {
  const time = new clock.ManualClock();
  const manager = new lifecycle.LifecycleManager(time);
  manager.register('file', () => {});
  manager.register('broken', () => Promise.reject(new Error('refused')));
  manager.register('hanging', () => new Promise(() => {}), 100);
  const closing = manager.close();
  time.advance(100);
  const outcomes = (await closing).map((report) => report.outcome);
  const { Closed, Failed, TimedOut } = lifecycle.CloseOutcome;
  assert.equal(outcomes, [TimedOut, Failed, Closed]);
});

suite.run();
