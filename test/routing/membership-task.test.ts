import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as membership from '../../src/membership';
import * as routing from '../../src/routing';
import * as fakeControlPlane from '../support/fake-control-plane';
import * as fakeControlState from '../support/fake-control-state';
import * as fakePlainService from '../support/fake-plain-service';

const suite = uvu.suite('membership task');

const LIST_MILLISECONDS = 200;

function machine(id: string): backend.MachineRecord {
  return {
    id,
    host: '127.0.0.1',
    port: 9_000,
    zone: 'pl-caudan',
    region: 'pl',
    service: 'ledger',
    kind: backend.BackendKind.PlainService,
    phase: backend.MachinePhase.Live,
  };
}

// Guards against a daemon that compares all servers five times per second, and against one that misses a change.
suite('a list is applied when it is new, and only then', async () => {
  const time = new clock.ManualClock();
  const pool = new routing.BackendPool({ open: () => new fakePlainService.FakePlainService() });
  let updates = 0;
  const update = pool.update.bind(pool);
  pool.update = (machines) => {
    updates += 1;
    update(machines);
  };
  let list: readonly backend.MachineRecord[] = [machine('i-1')];
  const reported: string[][] = [];
  const task = new routing.MembershipTask(
    {
      list: { read: async () => new results.Ok(list) },
      pool,
      plane: new fakeControlPlane.FakeControlPlane(new fakeControlState.FakeControlState(), 'a'),
      task: {
        now: () => time.monotonic(),
        feed: (event) => {
          if (event.kind === decision.DecisionEventKind.ServersChanged) {
            reported.push(event.servers.map(({ id }: membership.EligibleServer) => id));
          }
        },
      },
      time,
      random: new clock.SeededRandomSource(1),
    },
    LIST_MILLISECONDS,
    false,
  );
  await task.start();
  const passTime = async () => {
    for (let read = 0; read < 5; read += 1) {
      time.advance(LIST_MILLISECONDS * 2);
      await new Promise(setImmediate);
    }
  };
  await passTime();
  assert.is(updates, 1);
  list = [machine('i-1'), machine('i-2')];
  await passTime();
  assert.is(updates, 2);
  assert.equal(reported, [['i-1'], ['i-1', 'i-2']]);
  task.close();
});

suite.run();
