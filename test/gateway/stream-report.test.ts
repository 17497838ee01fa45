import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as loadExchange from '../../src/gateway/load-exchange';
import * as placementBuffer from '../../src/gateway/placement-buffer';
import * as streamRecorder from '../../src/gateway/stream-recorder';
import * as streamReport from '../../src/gateway/stream-report';
import * as peersModule from './peers';

const suite = uvu.suite('report of begun streams');

/** A gateway that reports its streams, and control daemons of which one leads. */
class Fleet {
  readonly time = new clock.ManualClock();

  readonly peers = new peersModule.Peers();

  readonly report = new streamReport.StreamReport(this.time);

  readonly proposals: control.RecordStreamsCommand[] = [];

  isLogReachable = true;

  constructor() {
    this.startControlDaemon('core-1', control.ReplicaRole.Leader);
    this.startControlDaemon('core-2', control.ReplicaRole.Follower);
    this.exchange('front-1', control.ReplicaRole.None, () => {}, this.report);
  }

  /** Lets messages, timers and answers of the log arrive. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 25) {
      this.time.advance(25);
      for (let turn = 0; turn < 5; turn += 1) {
        await Promise.resolve();
      }
    }
  }

  get recordedKeys(): readonly string[] {
    return this.proposals.flatMap(({ begun }) => begun.flatMap(({ keys }) => keys));
  }

  private startControlDaemon(id: string, role: control.ReplicaRole): void {
    const propose = async (command: control.Command) => {
      if (!this.isLogReachable) {
        return new results.Err(control.ProposalFailure.NoLeader);
      }
      this.proposals.push(command as control.RecordStreamsCommand);
      return new results.Ok({ kind: control.CommandResultKind.Done } as const);
    };
    const recorder = new streamRecorder.StreamRecorder({ plane: { propose }, time: this.time });
    this.exchange(id, role, (begun) =>
      begun.forEach(({ softwareVersion, keys }) =>
        keys.forEach((key) => recorder.add(key, softwareVersion, 100)),
      ),
    );
  }

  private exchange(
    id: string,
    role: control.ReplicaRole,
    onBegunStreams: (begun: readonly control.BegunStreams[]) => void,
    streams?: streamReport.StreamReport,
  ): void {
    const { time } = this;
    const buffer = new placementBuffer.PlacementBuffer(time);
    const plane = this.peers.plane(id, role);
    const demand = () => ({ totalMilliseconds: 0, keys: [] });
    const own = { loads: () => [], demand, streams };
    // The exchange goes on by its timer; the variable would only be needed to close it.
    const started = new loadExchange.LoadExchange(
      { plane, time, placementBuffer: buffer },
      own,
      () => {},
      onBegunStreams,
    );
    assert.ok(started);
  }
}

// Guards against a record that depends on a second message of a daemon, which may stand still by then.
suite('the leader records a stream once, within half a second', async () => {
  const fleet = new Fleet();
  fleet.report.add('first', 'v1');
  fleet.report.add('second', 'v2');
  await fleet.advance(500);
  const { RecordStreams } = control.CommandKind;
  const begun = [
    { softwareVersion: 'v1', keys: ['first'] },
    { softwareVersion: 'v2', keys: ['second'] },
  ];
  assert.equal(fleet.proposals, [{ kind: RecordStreams, begun }]);
  await fleet.advance(20_000);
  assert.is(fleet.proposals.length, 1);
});

// Guards against streams that are lost with a leader which fails before it has recorded them.
suite('a new leader is told of the streams that the last one may not have recorded', async () => {
  const fleet = new Fleet();
  fleet.isLogReachable = false;
  fleet.report.add('first', 'v1');
  await fleet.advance(500);
  fleet.peers.lead('core-1', control.ReplicaRole.None);
  fleet.peers.lead('core-2', control.ReplicaRole.Leader);
  fleet.isLogReachable = true;
  await fleet.advance(1_000);
  assert.ok(fleet.recordedKeys.includes('first'));
});

// Guards against streams that are never reported because they began while there was no way to the leader.
suite('streams that could not be sent are sent later', async () => {
  const fleet = new Fleet();
  fleet.peers.isCut = true;
  fleet.report.add('first', 'v1');
  await fleet.advance(2_000);
  fleet.peers.isCut = false;
  await fleet.advance(1_000);
  assert.equal(fleet.recordedKeys, ['first']);
});

// Load pattern: a daemon without a leader for long begins thousands of streams, which all go to the next leader.
suite('a message holds a bounded number of streams, and the others follow', async () => {
  const fleet = new Fleet();
  const keys = Array.from({ length: 700 }, (_, index) => `key-of-${index + 100}`);
  keys.forEach((key) => fleet.report.add(key, 'v1'));
  const [{ keys: inMessage }] = fleet.report.unsent();
  assert.ok(JSON.stringify(inMessage).length < 4_096);
  await fleet.advance(2_000);
  assert.equal(fleet.recordedKeys, keys);
  for (let index = 0; index < 50_000; index += 1) {
    fleet.report.add(`other-${index}`, 'v1');
  }
  assert.ok(fleet.report.unsent()[0].keys.length <= inMessage.length);
});

suite.run();
