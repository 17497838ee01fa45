import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as backend from '../../src/backend';
import type * as lifecycle from '../../src/lifecycle';
import * as verdict from '../../src/verdict';
import * as flood from '../support/flood';
import * as floodServer from '../support/flood-server';
import * as build from './build';

const suite = uvu.suite('answers without end');
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

async function checkClosed(server: floodServer.FloodServer): Promise<void> {
  await build.eventually(() => server.closedFloods === server.requests);
  assert.ok(server.mostBytes < MAXIMUM_ACCEPTED_BYTES, `${server.mostBytes} bytes`);
}

// Guards against calls that wait for their time limit while malformed bytes arrive.
Object.entries({ ...flood.HEAD_FLOODS, ...flood.TRAILER_FLOODS, ...flood.BODY_FLOODS }).forEach(
  ([name, given]) => {
    suite(`a charge and a probe fail at once after ${name} without end`, async () => {
      const owner = build.buildOwner();
      const server = await faulty(owner, given);
      const adapter = build.buildPlainAdapter(owner, server.port, LIMITS);
      const called = await adapter.call(build.charge({ timeoutMilliseconds: CALL_MILLISECONDS }));
      const probed = await adapter.probe();
      [called, probed].forEach((outcome) => {
        const failure = outcome.val as verdict.RequestFailure;
        assert.ok(outcome.err);
        assert.is(failure.reason, FailureReason.BackendError);
        assert.is(failure.verdict, Verdict.MayHaveRun);
      });
      await checkClosed(server);
    });
  },
);

Object.entries(flood.HEAD_FLOODS).forEach(([name, given]) => {
  suite(`an engine that answers with ${name} without end fails at once`, async () => {
    const owner = build.buildOwner();
    const server = await faulty(owner, given);
    const adapter = build.buildEngineAdapter(owner, server.port, LIMITS);
    const started = await adapter.start(build.engineRequest('flood'));
    const failure = started.val as verdict.RequestFailure;
    assert.is(failure.reason, FailureReason.BackendError);
    assert.is(failure.verdict, Verdict.MayHaveRun);
    await checkClosed(server);
  });

  suite(`an engine that sends ${name} slowly counts as silent`, async () => {
    const owner = build.buildOwner();
    const server = await faulty(owner, flood.slowly(given));
    const adapter = build.buildEngineAdapter(owner, server.port);
    assert.ok((await adapter.start(build.engineRequest('drip'))).err);
    await checkClosed(server);
  });
});

suite('an idle connection is closed when bytes arrive', async () => {
  const owner = build.buildOwner();
  const given = flood.EXTRA_FLOODS['blank lines'];
  for (const pauseMilliseconds of [5, undefined]) {
    const server = await faulty(owner, { ...given, pauseMilliseconds });
    const adapter = build.buildPlainAdapter(owner, server.port, LIMITS);
    const called = await adapter.call(build.charge({ timeoutMilliseconds: CALL_MILLISECONDS }));
    assert.is(called.unwrap().body.toString(), 'sacks');
    await checkClosed(server);
  }
});

// Guards against small parts of an answer that keep the large buffers in memory in which they were received.
suite('an answer in chunks of one byte is read completely', async () => {
  const owner = build.buildOwner();
  const body = 'sacks'.repeat(2_000);
  const text = [...body].map((letter) => flood.chunk(letter)).join('');
  const server = await faulty(owner, {
    start: `${flood.BODY_FLOODS['a chunked body'].start}${text}0\r\n\r\n`,
    repeated: '\r\n',
  });
  const adapter = build.buildPlainAdapter(owner, server.port, LIMITS);
  const called = await adapter.call(build.charge({ timeoutMilliseconds: CALL_MILLISECONDS }));
  assert.is(called.unwrap().body.toString(), body);
});

suite.run();
