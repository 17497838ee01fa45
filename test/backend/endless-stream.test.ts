import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as backend from '../../src/backend';
import * as eventParser from '../../src/backend/event-parser';
import type * as lifecycle from '../../src/lifecycle';
import * as verdict from '../../src/verdict';
import * as flood from '../support/flood';
import * as floodServer from '../support/flood-server';
import * as build from './build';

const suite = uvu.suite('streams without end');
suite.after.each(build.closeOwners);
const { FailureReason, Verdict } = verdict;

/** Bytes that the kernels of both sides buffer on one connection, plus the largest accepted answer. */
const MAXIMUM_ACCEPTED_BYTES = 40 * 1_024 * 1_024;

/** Time limit of a call; a test reaches it only if the call does not end earlier. */
const CALL_MILLISECONDS = 20_000;

const LIMITS: backend.BackendLimits = {
  ...build.PATIENT_LIMITS,
  silenceMilliseconds: CALL_MILLISECONDS,
  managementMilliseconds: CALL_MILLISECONDS,
  // Most floods arrive in parts of a few bytes, of which a busy machine reads about 100,000 per second. The call that stops
  // the engine is answered with the flood too.
  maximumEventBytes: 64 * 1_024,
  maximumManagementBytes: 64 * 1_024,
};

async function faulty(
  owner: lifecycle.LifecycleManager,
  given: flood.Flood,
): Promise<floodServer.FloodServer> {
  const server = new floodServer.FloodServer('server-1', given);
  await server.listen();
  owner.register('flood', () => server.close());
  return server;
}

/** Waits for the close of all floods, or for too many bytes on one; the time only ends a test that would fail anyway. */
async function checkClosed(server: floodServer.FloodServer): Promise<void> {
  const isDecided = () =>
    server.closedFloods === server.requests || server.mostBytes >= MAXIMUM_ACCEPTED_BYTES;
  await build.eventually(isDecided, CALL_MILLISECONDS);
  assert.is(server.closedFloods, server.requests, 'a flood was not ended');
  assert.ok(server.mostBytes < MAXIMUM_ACCEPTED_BYTES, `${server.mostBytes} bytes`);
}

const HEAD_EVENT = flood.chunk('event: head\ndata: {"cachedTokens":0,"promptTokens":9}\n\n');

function after(piece: string, repeated: string): flood.Flood {
  return { start: flood.EVENT_FLOODS['comment lines'].start + HEAD_EVENT + piece, repeated };
}

const PIECE = flood.chunk('id: 0\ndata: {"n":0}\n\n');

/** Bytes that an engine may send after a piece and that are not another piece. */
const NO_PIECES: Readonly<Record<string, flood.Flood>> = {
  'an event': after(PIECE + flood.chunk('id: 1\ndata: '), flood.chunk('sacks')),
  'empty data lines': after(PIECE, flood.chunk('data:\n')),
  'id lines': after(PIECE, flood.chunk('id: 1\n')),
  'comment lines': after(PIECE, flood.chunk(': idle\n')),
  'blank lines': after(PIECE, flood.chunk('\n')),
  'events of an unknown kind': after(PIECE, flood.chunk('event: note\ndata: y\n\n')),
  'a chunk size': after(PIECE, '0'),
};

// Guards against bytes that are not a piece and that keep a stream open or fill the memory.
Object.entries(NO_PIECES).forEach(([name, given]) => {
  suite(`a stream keeps its pieces and breaks after ${name} without end`, async () => {
    const owner = build.buildOwner();
    const server = await faulty(owner, given);
    const adapter = build.buildEngineAdapter(owner, server.port, LIMITS);
    const started = await adapter.start(build.engineRequest('flood'));
    const { pieces, failure } = await build.readStream(started.unwrap());
    assert.is(pieces.length, 1);
    assert.ok(failure !== undefined && failure.reason !== FailureReason.Timeout);
    assert.is(failure?.verdict, Verdict.MayHaveRun);
    await checkClosed(server);
  });
});

// Guards against a stream that never fails because single bytes of one event keep arriving.
suite('single bytes of an event that does not end count as silence', async () => {
  const owner = build.buildOwner();
  const server = await faulty(owner, flood.slowly(NO_PIECES['an event'], 50));
  const adapter = build.buildEngineAdapter(owner, server.port);
  const started = await adapter.start(build.engineRequest('drip'));
  const { pieces, failure } = await build.readStream(started.unwrap());
  assert.is(pieces.length, 1);
  assert.is(failure?.reason, FailureReason.Timeout);
  await checkClosed(server);
});

// Guards against a connection that stays open after a complete stream because bytes keep arriving.
[1, undefined].forEach((pauseMilliseconds) => {
  suite(
    `a complete stream ends and its connection is closed, pause ${pauseMilliseconds}`,
    async () => {
      const owner = build.buildOwner();
      const done = after(PIECE + flood.chunk('id: 1\ndata: [DONE]\n\n'), flood.chunk(': idle\n'));
      const server = await faulty(owner, { ...done, pauseMilliseconds });
      const adapter = build.buildEngineAdapter(owner, server.port, LIMITS);
      const started = await adapter.start(build.engineRequest('done'));
      const { pieces, failure } = await build.readStream(started.unwrap());
      assert.is(failure, undefined);
      assert.is(pieces.length, 2);
      await checkClosed(server);
    },
  );
});

// Guards against an event parser whose processor time or memory grows faster than its input.
suite(
  'an event parser reads a long line in small parts without reading it again for each part',
  () => {
    const parser = new eventParser.EventParser(64 * 1_024);
    const { split } = String.prototype;
    let characters = 0;
    const counted = function counted(this: string, separator: string): string[] {
      characters += this.length;
      return (split as (by: string) => string[]).call(this, separator);
    };
    Object.assign(String.prototype, { split: counted });
    try {
      parser.push(Buffer.from('data: '));
      for (let part = 0; part < 32 * 1_024; part += 1) {
        parser.push(Buffer.from('x'));
      }
    } finally {
      Object.assign(String.prototype, { split });
    }
    assert.ok(characters < 4 * 64 * 1_024, `${characters} characters were split`);
    const [event] = parser.push(Buffer.from('\n\n'));
    assert.is(event.data.length, 32 * 1_024);
  },
);

suite('an event parser rejects endless fields, including empty ones', () => {
  ['data:\n', 'id: 1\n', 'event: e\n', ': idle\n', 'other\n'].forEach((line) => {
    const parser = new eventParser.EventParser(1_024);
    assert.throws(() => {
      for (let turn = 0; turn < 1_024; turn += 1) {
        parser.push(Buffer.from(line));
      }
    }, `endless ${line}`);
  });
});

suite.run();
