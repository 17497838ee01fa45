import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as streamRecorder from '../../src/gateway/stream-recorder';

const suite = uvu.suite('recorder of streams');

/** As gateways add streams while several versions are in use. */
const SPACING_MILLISECONDS = 50;

/** A log that takes each proposal at once and answers it later. */
class Log {
  readonly time = new clock.ManualClock();

  isReachable = true;

  /** Streams of each proposal, also of those that were not accepted. */
  readonly proposals: (readonly control.BegunStreams[])[] = [];

  readonly answered: string[] = [];

  readonly recorder: streamRecorder.StreamRecorder;

  constructor(answerMilliseconds: number) {
    const propose = async (command: control.Command) => {
      this.proposals.push((command as control.RecordStreamsCommand).begun);
      const isAccepted = this.isReachable;
      await this.time.sleep(answerMilliseconds);
      return isAccepted
        ? new results.Ok({ kind: control.CommandResultKind.Done } as const)
        : new results.Err(control.ProposalFailure.Timeout);
    };
    this.recorder = new streamRecorder.StreamRecorder(
      { plane: { propose }, time: this.time },
      (keys) => this.answered.push(...keys),
    );
  }

  get proposedKeys(): readonly string[] {
    return this.proposals.flatMap((begun) => begun.flatMap(({ keys }) => keys));
  }

  add(key: string, softwareVersion = 'v1'): void {
    this.recorder.add(key, softwareVersion, SPACING_MILLISECONDS);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 5) {
      this.time.advance(5);
      for (let turn = 0; turn < 10; turn += 1) {
        await Promise.resolve();
      }
    }
  }
}

// Guards against streams that are lost with their gateway while they wait for others to share an entry with.
suite('a stream is recorded at once if none was lately', async () => {
  const log = new Log(75);
  log.add('first');
  await log.advance(5);
  assert.equal(log.proposedKeys, ['first']);
});

// Guards against streams that are lost with their gateway while the log answers the batch before theirs.
suite('a stream is recorded while the batch before it has no answer', async () => {
  const log = new Log(200);
  log.add('first');
  await log.advance(60);
  log.add('second', 'v2');
  await log.advance(60);
  assert.equal(log.proposedKeys, ['first', 'second']);
  assert.equal(log.answered, []);
  await log.advance(1_000);
  assert.equal(log.proposedKeys, ['first', 'second']);
  assert.equal(log.answered, ['first', 'second']);
});

// Load pattern: streams begin one after the other at a gateway that is far from the leader.
suite('streams that begin within 50 ms share an entry', async () => {
  const log = new Log(75);
  for (let count = 0; count < 200; count += 1) {
    log.add(`stream-${count}`);
    await log.advance(5);
  }
  await log.advance(200);
  assert.ok(log.proposals.length <= 1_000 / SPACING_MILLISECONDS + 1, `${log.proposals.length}`);
  assert.is(log.answered.length, 200);
});

// Load pattern: no leader answers for long, while streams begin.
suite('few messages are open while the log does not answer, and no stream is lost', async () => {
  const log = new Log(1_500);
  log.isReachable = false;
  for (let count = 0; count < 100; count += 1) {
    log.add(`stream-${count}`);
    await log.advance(10);
  }
  assert.ok(log.proposals.length <= 4, `${log.proposals.length} messages`);
  await log.advance(5_000);
  assert.equal(log.answered, []);
  log.isReachable = true;
  await log.advance(10_000);
  assert.is(new Set(log.answered).size, 100);
  const sent = log.proposals.length;
  await log.advance(10_000);
  assert.is(log.proposals.length, sent);
});

// Guards against text joined under an id that a caller uses again: the log has to know both versions.
suite('a second version of a stream is recorded though the first has no answer yet', async () => {
  const log = new Log(200);
  log.add('first', 'v1');
  await log.advance(60);
  log.add('first', 'v2');
  await log.advance(500);
  const versions = log.proposals.flatMap((begun) =>
    begun.map(({ softwareVersion }) => softwareVersion),
  );
  assert.equal(versions, ['v1', 'v2']);
});

suite.run();
