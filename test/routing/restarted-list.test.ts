import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as routing from '../../src/routing';
import * as decisionBuilder from '../decision/builder';
import * as fakeControlPlane from '../support/fake-control-plane';
import * as fakeControlState from '../support/fake-control-state';
import * as fakePlainService from '../support/fake-plain-service';

const suite = uvu.suite('requests of a server that has restarted according to the list');

const LIST_MILLISECONDS = 200;

const { Dispatch } = decision.DecisionEffectKind;

/** Servers to which the request of `runner-0` is sent when the list changes to `changed`. */
async function targetsAfter(
  listed: readonly backend.MachineRecord[],
  changed: readonly backend.MachineRecord[],
): Promise<string[]> {
  const time = new clock.ManualClock();
  const driver = decisionBuilder.createDriver(1);
  let list = listed;
  const task = new routing.MembershipTask(
    {
      list: { read: async () => new results.Ok(list) },
      pool: new routing.BackendPool({ open: () => new fakePlainService.FakePlainService() }),
      plane: new fakeControlPlane.FakeControlPlane(new fakeControlState.FakeControlState(), 'a'),
      task: { now: () => time.monotonic(), feed: (event) => driver.apply(event) },
      time,
      random: new clock.SeededRandomSource(1),
    },
    LIST_MILLISECONDS,
    false,
  );
  driver.arrive('a');
  assert.is(driver.takeEffects(Dispatch)[0].serverId, 'runner-0');
  await task.start();
  list = changed;
  time.advance(2 * LIST_MILLISECONDS);
  await new Promise(setImmediate);
  task.close();
  return driver.takeEffects(Dispatch).map(({ serverId }) => serverId);
}

const [first, second] = decisionBuilder.listServers(2);
const restarted = { ...first, incarnation: 'second' };

// Guards against a request that is sent to a server which loads weights according to the same list, and uses up a retry there.
suite('the lost request is not sent to the new process while it loads', async () => {
  assert.equal(await targetsAfter([first], [{ ...restarted, loading: true }]), []);
});

// Guards against a request that is sent to a server which leaves according to the same list, and uses up a retry there.
suite('the lost request is not sent to a server that leaves', async () => {
  const leaving = { ...second, phase: backend.MachinePhase.Leaving };
  assert.equal(await targetsAfter([first, second], [restarted, leaving]), ['runner-0']);
});

// Guards against requests that wait although the new process takes them.
suite('the lost request is sent to the new process at once', async () => {
  assert.equal(await targetsAfter([first], [restarted]), ['runner-0']);
});

suite.run();
