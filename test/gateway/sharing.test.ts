import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as loadExchange from '../../src/gateway/load-exchange';
import * as loadTable from '../../src/gateway/load-table';
import * as machineChanges from '../../src/gateway/machine-changes';
import * as placementBuffer from '../../src/gateway/placement-buffer';
import type * as placement from '../../src/placement';
import * as sharedMachineList from '../../src/gateway/shared-machine-list';
import * as countedList from './counted-list';
import * as peersModule from './peers';

const suite = uvu.suite('sharing between daemons');
const { Leader, Follower, None } = control.ReplicaRole;

/** The leader and another daemon, with the platform's list that both can read. */
function readers(annotate?: (record: backend.MachineRecord) => backend.MachineRecord) {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const source = new countedList.CountedList();
  const [leader, other] = [peers.plane('a', Leader), peers.plane('b', None)].map(
    (plane) => new sharedMachineList.SharedMachineList({ plane, source, time, annotate }),
  );
  return { peers, time, source, leader, other };
}

// Guards against a cost that grows with the number of daemons, and against copies that miss a change.
suite('the leader reads the list for all daemons and adds its own information', async () => {
  const loading = { ...countedList.RECORD, loading: true as const };
  let isOrdered = false;
  const { time, source, leader, other } = readers((record) => (isOrdered ? loading : record));
  await leader.read();
  assert.equal((await other.read()).unwrap(), [countedList.RECORD]);
  isOrdered = true;
  time.advance(100);
  await leader.read();
  assert.equal((await other.read()).unwrap(), [loading]);
  assert.is(source.reads, 1);
});

// Guards against unknown weights that count as known: leaders of earlier releases send them as an empty version.
suite('an empty weights version in the list of a leader is none', async () => {
  const { leader, other } = readers((record) => ({ ...record, weightsVersion: '' }));
  await leader.read();
  const [server] = (await other.read()).unwrap();
  assert.is(server.weightsVersion, undefined);
});

suite('a daemon that receives nothing reads the list itself', async () => {
  const { peers, time, source, leader, other } = readers();
  await leader.read();
  peers.isCut = true;
  source.records = [];
  time.advance(2_600);
  assert.equal((await other.read()).unwrap(), []);
  assert.is(source.reads, 2);
});

// Guards against requests to an engine that loads weights: a list that a daemon has read itself, without what the leader adds,
// passed for the leader's last edition once the leader was heard again.
suite('a daemon that has read the list itself returns to that of the leader', async () => {
  const loading = { ...countedList.RECORD, loading: true as const, weightsVersion: '2' };
  const { peers, time, source, leader, other } = readers(() => loading);
  await leader.read();
  assert.equal((await other.read()).unwrap(), [loading]);
  peers.isCut = true;
  time.advance(2_600);
  assert.equal((await other.read()).unwrap(), source.records);
  peers.isCut = false;
  await leader.read();
  assert.equal((await other.read()).unwrap(), [loading]);
});

// Guards against changes of the leader's list that are applied to a list which a daemon has read itself.
suite('a change of the list is not applied to one that a daemon has read itself', async () => {
  const second = { ...countedList.RECORD, id: 'i-2' };
  const loading = { ...countedList.RECORD, loading: true as const };
  const { peers, time, source, leader, other } = readers((record) =>
    record.id === loading.id ? loading : record,
  );
  await leader.read();
  peers.isCut = true;
  time.advance(2_600);
  await other.read();
  peers.isCut = false;
  source.records = [countedList.RECORD, second];
  await leader.read();
  assert.equal((await other.read()).unwrap(), [loading, second]);
});

suite('a daemon that missed a change requests the full list', async () => {
  const { peers, time, source, leader, other } = readers();
  await leader.read();
  peers.isCut = true;
  source.records = [];
  time.advance(500);
  await leader.read();
  peers.isCut = false;
  time.advance(900);
  await leader.read();
  await leader.read();
  assert.equal((await other.read()).unwrap(), []);
  assert.is(source.reads, 3);
});

/** A list of VMs of one service. */
function machines(count: number): readonly backend.MachineRecord[] {
  return Array.from({ length: count }, (_, index) => ({ ...countedList.RECORD, id: `i-${index}` }));
}

// Guards against messages that grow with the number of servers: a roll-out changes one every few milliseconds.
suite('the message about a change of one VM does not contain the others', async () => {
  const { peers, time, source, leader, other } = readers();
  source.records = machines(70);
  await leader.read();
  const fullListBytes = peers.bytes;
  source.records = [...machines(69), { ...countedList.RECORD, id: 'i-70', weightsVersion: '2' }];
  time.advance(500);
  await leader.read();
  assert.ok(
    peers.bytes - fullListBytes < fullListBytes / 20,
    `${peers.bytes - fullListBytes} of ${fullListBytes} bytes`,
  );
  assert.equal((await other.read()).unwrap(), source.records);
});

// Guards against successive restarts of daemons that each cause the full list to be sent to all.
suite('the full list is sent only to the daemon that lacks it', async () => {
  const { peers, time, source, leader, other } = readers();
  source.records = machines(70);
  await leader.read();
  const fullListBytes = peers.bytes;
  const late = new sharedMachineList.SharedMachineList({
    plane: peers.plane('c', None),
    source: new countedList.CountedList(),
    time,
  });
  time.advance(900);
  await leader.read();
  assert.ok(peers.bytes < 2 * fullListBytes + 500, `${peers.bytes} bytes`);
  assert.equal((await late.read()).unwrap(), source.records);
  assert.equal((await other.read()).unwrap(), source.records);
});

// Guards against a daemon that leads again and sends changes to a list that its peers no longer have.
suite('a daemon that leads again sends the full list', async () => {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const source = new countedList.CountedList();
  const [former, latter] = [peers.plane('a', Leader), peers.plane('b', None)].map(
    (plane) => new sharedMachineList.SharedMachineList({ plane, source, time }),
  );
  await former.read();
  peers.lead('a', None);
  peers.lead('b', Leader);
  source.records = machines(3);
  time.advance(500);
  await latter.read();
  assert.equal((await former.read()).unwrap(), source.records);
  peers.lead('b', None);
  peers.lead('a', Leader);
  source.records = machines(2);
  time.advance(500);
  await former.read();
  assert.equal((await latter.read()).unwrap(), source.records);
});

// Guards against a leader whose VM was suspended and that broadcasts its old list before it learns of its successor.
suite('a replaced leader does not overwrite the list of the others with an older one', async () => {
  const peers = new peersModule.Peers();
  const [own, time] = [new clock.ManualClock(), new clock.ManualClock()];
  const source = new countedList.CountedList();
  const [first, second, third] = ['a', 'b', 'c'].map((id) => peers.plane(id, None));
  let isSuspended = false;
  let isOrdered = false;
  const former = new sharedMachineList.SharedMachineList({
    plane: {
      ...first,
      onBroadcast: (topic, listener) =>
        first.onBroadcast(topic, (...message) => isSuspended || listener(...message)),
    },
    source,
    time: own,
    annotate: (record) => (isOrdered ? { ...record, loading: true as const } : record),
  });
  const [latter, other] = [second, third].map(
    (plane) => new sharedMachineList.SharedMachineList({ plane, source, time }),
  );
  Object.assign(first.status(), { role: Leader });
  await former.read();
  isSuspended = true;
  Object.assign(second.status(), { role: Leader, term: 2 });
  source.records = machines(3);
  time.advance(5_000);
  await latter.read();
  isSuspended = false;
  own.advance(100);
  isOrdered = true;
  await former.read();
  assert.equal((await other.read()).unwrap(), source.records);
});

// Guards against a copy that differs from the list after several changes.
suite('changes applied to a list result in the next list', () => {
  const id = fastCheck.integer({ min: 0, max: 9 }).map((index) => `i-${index}`);
  const record = fastCheck
    .record({ id, weightsVersion: fastCheck.constantFrom('1', '2') })
    .map((fields) => ({ ...countedList.RECORD, ...fields }));
  const list = fastCheck.uniqueArray(record, { selector: (entry) => entry.id });
  fastCheck.assert(
    fastCheck.property(list, list, (before, after) => {
      const changes = machineChanges.changesBetween(before, after);
      const byId = (records: readonly backend.MachineRecord[]) =>
        [...records].sort((left, right) => left.id.localeCompare(right.id));
      assert.equal(byId(machineChanges.applyChanges(before, changes)), byId(after));
    }),
    { seed: 14, numRuns: 300 },
  );
});

// Guards against needless processing of all servers several times a second although nothing has changed.
suite('an unchanged list stays the same object', async () => {
  const { time, source, leader, other } = readers();
  const read = async () => [(await leader.read()).unwrap(), (await other.read()).unwrap()];
  const first = await read();
  time.advance(500);
  const second = await read();
  assert.is(source.reads, 2);
  second.forEach((list, index) => assert.is(list, first[index]));
  source.records = [{ ...countedList.RECORD, weightsVersion: '2' }];
  time.advance(500);
  const third = await read();
  third.forEach((list) => assert.equal(list, source.records));
});

/** The report of a daemon with these loads and without demand. */
function ownReport(loads: readonly loadTable.InFlightLoad[]): loadExchange.OwnReport {
  return { loads: () => loads, demand: () => ({ totalMilliseconds: 0, keys: [] }) };
}

// Guards against daemons that all overload the engine that looks idle to each of them.
suite('each daemon gets the sums of all loads, without that of a stopped daemon', () => {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const load = { serverId: 'i-1', requests: 2, prefillTokens: 100, memoryTokens: 5_000 };
  const buffer = new placementBuffer.PlacementBuffer(time);
  let sums: readonly loadTable.InFlightLoad[] = [];
  const leader = new loadExchange.LoadExchange(
    {
      plane: peers.plane('a', Leader),
      time,
      placementBuffer: new placementBuffer.PlacementBuffer(time),
    },
    ownReport([]),
    () => {},
  );
  const first = new loadExchange.LoadExchange(
    { plane: peers.plane('b', None), time, placementBuffer: buffer },
    ownReport([load]),
    ({ loads }) => {
      sums = loads;
    },
  );
  const second = new loadExchange.LoadExchange(
    {
      plane: peers.plane('c', None),
      time,
      placementBuffer: new placementBuffer.PlacementBuffer(time),
    },
    ownReport([load]),
    () => {},
  );
  time.advance(400);
  assert.equal(sums, [{ serverId: 'i-1', requests: 4, prefillTokens: 200, memoryTokens: 10_000 }]);
  [first, second].forEach((exchange) => exchange.close());
  time.advance(6_000);
  assert.equal(sums, []);
  leader.close();
});

// Guards against prefixes that are computed again because a daemon knows only its own requests.
suite('the other daemons receive each sent prefix once', () => {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const received: placement.PrefixPlacement[] = [];
  const daemons = [Leader, None, None].map((role, index) => {
    const buffer = new placementBuffer.PlacementBuffer(time);
    const plane = peers.plane(String(index), role);
    const onSums = ({ placements }: loadExchange.ReceivedSums) => received.push(...placements);
    return {
      buffer,
      exchange: new loadExchange.LoadExchange(
        { plane, time, placementBuffer: buffer },
        ownReport([]),
        onSums,
      ),
    };
  });
  daemons[1].buffer.add({ serverId: 'i-1', hashes: [7, 8] });
  time.advance(400);
  daemons[1].buffer.add({ serverId: 'i-1', hashes: [8] });
  time.advance(400);
  daemons.forEach(({ exchange }) => exchange.close());
  assert.equal(received, Array(2).fill({ serverId: 'i-1', hashes: [7, 8] }));
});

// Guards against control daemons that repeat received prefixes to every gateway as if these were their own.
suite('a control daemon that does not lead does not repeat what it received', () => {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const exchanges = [Leader, Follower, None, None].map((role, index) => {
    const buffer = new placementBuffer.PlacementBuffer(time);
    const plane = peers.plane(String(index), role);
    if (role === None) {
      buffer.add({ serverId: 'i-1', hashes: [index] });
    }
    return new loadExchange.LoadExchange(
      { plane, time, placementBuffer: buffer },
      ownReport([]),
      () => {},
    );
  });
  time.advance(4_000);
  exchanges.forEach((exchange) => exchange.close());
  // One message of each gateway to the leader, and one of the leader to the three others.
  assert.equal(
    [...peers.sent],
    [
      ['2', 1],
      ['3', 1],
      ['0', 3],
    ],
  );
});

// Guards against engines that look idle to all daemons because a new leader has received no loads yet.
suite('after a change of the leader, not even the first sums are incomplete', () => {
  const peers = new peersModule.Peers();
  const time = new clock.ManualClock();
  const load = { serverId: 'i-1', requests: 2, prefillTokens: 100, memoryTokens: 5_000 };
  const received: number[] = [];
  const exchanges = [Leader, Follower, None, None].map((role, index) => {
    const ports = {
      plane: peers.plane(String(index), role),
      time,
      placementBuffer: new placementBuffer.PlacementBuffer(time),
    };
    return new loadExchange.LoadExchange(
      ports,
      ownReport(role === None ? [load] : []),
      ({ loads }) => received.push(loads.reduce((sum, { requests }) => sum + requests, 0)),
    );
  });
  time.advance(1_000);
  assert.ok(received.length > 0);
  received.length = 0;
  peers.lead('0', Follower);
  peers.lead('1', Leader);
  time.advance(700);
  exchanges.forEach((exchange) => exchange.close());
  assert.equal([...new Set(received)], [4]);
});

// Guards against messages that grow with the load.
suite('a message contains a limited number of prefixes', () => {
  const log = new placementBuffer.PlacementBuffer(new clock.ManualClock(), 2);
  log.add({ serverId: 'i-1', hashes: [1, 2, 3] });
  assert.equal(log.drain(), [{ serverId: 'i-1', hashes: [1, 2] }]);
  assert.equal(log.drain(), []);
});

suite.run();
