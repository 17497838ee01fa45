import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as membership from '../../src/membership';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';
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

/** Lets a daemon's timers run for a while. */
async function pass(time: clock.ManualClock, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += LIST_MILLISECONDS) {
    time.advance(LIST_MILLISECONDS);
    await new Promise(setImmediate);
  }
}

function taskOf(
  time: clock.ManualClock,
  pool: routing.BackendPool,
  read: backend.MachineList['read'],
  feed: (event: decision.DecisionEvent) => void = () => {},
): routing.MembershipTask {
  return new routing.MembershipTask(
    {
      list: { read },
      pool,
      plane: new fakeControlPlane.FakeControlPlane(new fakeControlState.FakeControlState(), 'a'),
      task: { now: () => time.monotonic(), feed },
      time,
      random: new clock.SeededRandomSource(1),
    },
    LIST_MILLISECONDS,
    false,
  );
}

// Guards against a daemon that never reads the list again after one read has thrown.
suite('a list whose read throws is read again', async () => {
  const time = new clock.ManualClock();
  const pool = new routing.BackendPool({ open: () => new fakePlainService.FakePlainService() });
  let reads = 0;
  const task = taskOf(time, pool, async () => {
    reads += 1;
    if (reads % 2 === 1) {
      throw new Error('not readable');
    }
    return new results.Ok([machine('i-1'), machine(`i-${reads}`)]);
  });
  const started = task.start();
  await pass(time, LIST_MILLISECONDS * 20);
  await started;
  assert.ok(reads >= 8, `${reads} reads`);
  assert.is(task.servers().length, 2);
  task.close();
});

// Guards against a list that is never applied because its first application has thrown.
suite('a list that could not be applied is applied at the next read', async () => {
  const time = new clock.ManualClock();
  let opened = 0;
  const pool = new routing.BackendPool({
    open: () => {
      opened += 1;
      if (opened === 1) {
        throw new Error('no client');
      }
      return new fakePlainService.FakePlainService();
    },
  });
  const list = [machine('i-1')];
  const task = taskOf(time, pool, async () => new results.Ok(list));
  const started = task.start();
  await pass(time, LIST_MILLISECONDS * 4);
  await started;
  assert.is(task.servers().length, 1);
  task.close();
});

/** A server whose first probes throw. */
class ThrowingService extends fakePlainService.FakePlainService {
  probes = 0;

  isClosed = false;

  constructor(private readonly throwingProbes: number) {
    super();
  }

  override async probe(): ReturnType<fakePlainService.FakePlainService['probe']> {
    this.probes += 1;
    if (this.probes <= this.throwingProbes) {
      throw new TypeError('Invalid URL');
    }
    return super.probe();
  }

  override async close(): Promise<void> {
    this.isClosed = true;
  }
}

// Guards against a probe that throws and is never repeated, and against a client that it keeps open for ever.
suite('a probe that throws fails, is repeated and releases its client', async () => {
  const time = new clock.ManualClock();
  const server = new ThrowingService(3);
  const pool = new routing.BackendPool({ open: () => server });
  let list = [machine('i-1')];
  const task = taskOf(time, pool, async () => new results.Ok(list));
  await task.start();
  const { ConnectFailed } = verdict.FailureReason;
  task.attemptFailed('i-1', verdict.failure(ConnectFailed, verdict.Verdict.NotRun, 'down'));
  await pass(time, 2_000);
  assert.ok(server.probes >= 2, `${server.probes} probes`);
  assert.is(task.servers().length, 0);
  await pass(time, 60_000);
  assert.ok(server.probes >= 4, `${server.probes} probes`);
  assert.is(task.servers().length, 1);
  list = [];
  await pass(time, LIST_MILLISECONDS * 2);
  assert.ok(server.isClosed, 'the client of a removed server is still open');
  task.close();
});

// Guards against a core that uses a server which the task has just found dead, because the list comes after the crash.
suite('a crash report says that the server is dead and that a list follows', async () => {
  const time = new clock.ManualClock();
  const server = new ThrowingService(Infinity);
  const pool = new routing.BackendPool({ open: () => server });
  const events: decision.DecisionEvent[] = [];
  const read = async () => new results.Ok([machine('i-1')]);
  const task = taskOf(time, pool, read, (event) => events.push(event));
  await task.start();
  const { ConnectFailed } = verdict.FailureReason;
  task.attemptFailed('i-1', verdict.failure(ConnectFailed, verdict.Verdict.NotRun, 'down'));
  await pass(time, 2_000);
  task.close();
  const { ServerCrashed, ServersChanged } = decision.DecisionEventKind;
  const crash = events.findIndex(({ kind }) => kind === ServerCrashed);
  const { serverId, isDead, isListNext } = events[crash] as decision.ServerCrashed;
  assert.equal(
    { serverId, isDead, isListNext },
    { serverId: 'i-1', isDead: true, isListNext: true },
  );
  const next = events[crash + 1] as decision.ServersChanged;
  assert.is(next.kind, ServersChanged);
  assert.equal(next.servers, []);
});

suite.run();
