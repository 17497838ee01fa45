import type * as http from 'node:http';
import * as stream from 'node:stream';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as bodyIntake from '../../src/daemon/body-intake';
import * as memory from '../../src/memory';
import * as metrics from '../../src/metrics';

const suite = uvu.suite('intake of bodies');

class SentBody {
  outcome: Buffer | Error | undefined;

  readonly payload = Object.assign(new stream.PassThrough(), {
    headers: {},
  }) as unknown as http.IncomingMessage & stream.PassThrough;

  constructor(intake: bodyIntake.BodyIntake) {
    intake.read(this.payload, (error, body) => {
      this.outcome = error ?? body;
    });
  }

  async write(bytes: number): Promise<void> {
    this.payload.write(Buffer.alloc(bytes, 'x'));
    await turn();
  }
}

function turn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against a small body that is refused because a crowd of large ones has filled the memory before.
suite(
  'the largest unfinished body is refused first, and a body that has arrived never',
  async () => {
    const account = new memory.MemoryAccount(1_000_000);
    const intake = new bodyIntake.BodyIntake(account, 400_000, new metrics.DisabledMetrics());
    const arrived = new SentBody(intake);
    await arrived.write(200_000);
    arrived.payload.end();
    await turn();
    assert.ok(Buffer.isBuffer(arrived.outcome));
    const [large, smaller, small] = [0, 1, 2].map(() => new SentBody(intake));
    await large.write(300_000);
    await smaller.write(100_000);
    await small.write(60_000);
    assert.instance(large.outcome, Error);
    assert.is(smaller.outcome, undefined);
    small.payload.end();
    await turn();
    assert.equal(small.outcome, Buffer.alloc(60_000, 'x'));
    [arrived, small].forEach(({ payload }) => intake.release(payload));
    smaller.payload.destroy(new Error('caller has left'));
    await turn();
    assert.is(account.total, 0);
  },
);

// Guards against a VM so small that one body inside the limits is refused in calm, also if it arrives in small parts.
suite('the only unfinished body is accepted while memory is short, others are not', async () => {
  const { heldBytes } = memory.limitsFor({ memoryBytes: 88e6 });
  const account = new memory.MemoryAccount(heldBytes);
  account.isShort = true;
  const limit = 4 * 1_024 * 1_024;
  const intake = new bodyIntake.BodyIntake(account, limit, new metrics.DisabledMetrics());
  const alone = new SentBody(intake);
  for (let left = limit; left > 0; left -= 1_448) {
    await alone.write(Math.min(left, 1_448));
  }
  alone.payload.end();
  await turn();
  assert.ok(Buffer.isBuffer(alone.outcome));
  const crowd = Array.from({ length: 4 }, () => new SentBody(intake));
  for (const body of crowd) {
    await body.write(2 * 1_024 * 1_024);
  }
  const refused = crowd.filter(({ outcome }) => outcome instanceof Error);
  assert.ok(refused.length >= 2, String(refused.length));
  assert.ok(account.total < heldBytes);
});

// Guards against a body whose request was rejected and that still reaches its handler, or stays counted.
suite('an abandoned body is dropped without an outcome', async () => {
  const account = new memory.MemoryAccount(1_000_000);
  const intake = new bodyIntake.BodyIntake(account, 400_000, new metrics.DisabledMetrics());
  const body = new SentBody(intake);
  await body.write(1_000);
  intake.abandon(body.payload);
  await body.write(1_000);
  body.payload.end();
  await turn();
  assert.is(body.outcome, undefined);
  assert.is(account.total, 0);
});

suite.run();
