import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as backend from '../../src/backend';
import * as emulator from '../../src/emulator';
import * as verdict from '../../src/verdict';
import * as build from './build';

const suite = uvu.suite('late, crossed and doubled answers');
suite.after.each(build.closeOwners);
const { FaultKind } = emulator;

/** Sends one charge and checks that an answer, if there is one, belongs to it. */
async function chargeChecked(
  adapter: backend.HttpPlainService,
  request: backend.PlainRequest,
): Promise<boolean> {
  const result = await adapter.call(request);
  if (result.ok) {
    const { account } = JSON.parse(Buffer.from(request.body).toString());
    const answer = JSON.parse(Buffer.from(result.val.body).toString());
    assert.is(answer.account, account, 'the answer of another request was delivered');
    assert.is(result.val.headers['x-request-id'], request.requestId);
  }
  return result.ok;
}

/**
 * Sends charges whose answers are late until one is given up. A process that stood still reads what has arrived before it
 * gives up, so that the answer may be delivered; this must not happen otherwise.
 */
async function giveUpLateAnswer(
  service: emulator.EmulatedPlainService,
  adapter: backend.HttpPlainService,
): Promise<void> {
  for (let attempt = 0; attempt < LATE_ATTEMPTS; attempt += 1) {
    service.faults.add({ kind: FaultKind.LateAnswer, delayMilliseconds: 60 });
    const startedAt = performance.now();
    if (
      !(await chargeChecked(adapter, build.charge({ timeoutMilliseconds: TIMEOUT_MILLISECONDS })))
    ) {
      return;
    }
    const milliseconds = performance.now() - startedAt;
    const message = `a late answer was delivered after ${Math.round(milliseconds)} ms`;
    assert.ok(milliseconds >= TIMEOUT_MILLISECONDS + LATE_TIMER_MILLISECONDS, message);
  }
  assert.unreachable('no charge with a late answer was given up');
}

suite('an answer that comes after its timeout never reaches the next request', async () => {
  const owner = build.buildOwner();
  const { service, adapter } = await build.buildPlain(owner);
  await chargeChecked(adapter, build.charge());
  await giveUpLateAnswer(service, adapter);
  for (let count = 0; count < 20; count += 1) {
    assert.ok(await chargeChecked(adapter, build.charge()));
  }
  assert.is(service.report().acceptedConnections, 2, 'the abandoned connection was used again');
});

suite('a duplicate answer never reaches the next request on the connection', async () => {
  const owner = build.buildOwner();
  const { service, adapter } = await build.buildPlain(owner);
  service.faults.add({ kind: FaultKind.DuplicateAnswer, times: 40 });
  let answered = 0;
  for (let count = 0; count < 60; count += 1) {
    answered += (await chargeChecked(adapter, build.charge())) ? 1 : 0;
  }
  assert.ok(answered >= 20, `only ${answered} of 60 charges were answered`);
});

suite('concurrent requests get their own answers while others are late or mismatched', async () => {
  const owner = build.buildOwner();
  const { service, adapter } = await build.buildPlain(owner);
  const kinds = [FaultKind.LateAnswer, FaultKind.CrossedId, FaultKind.DuplicateAnswer];
  let answered = 0;
  for (let round = 0; round < 10; round += 1) {
    kinds.forEach((kind) => service.faults.add({ kind, times: 2, delayMilliseconds: 200 }));
    const requests = Array.from({ length: 12 }, () => build.charge({ timeoutMilliseconds: 150 }));
    const results = await Promise.all(requests.map((request) => chargeChecked(adapter, request)));
    answered += results.filter((ok) => ok).length;
  }
  assert.ok(answered > 40, `only ${answered} of 120 charges were answered`);
});

suite('a stream under the id of another request is refused before its first piece', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(owner);
  engine.faults.add({ kind: FaultKind.CrossedId });
  const result = await adapter.start(build.engineRequest('crossed'));
  const failure = result.val as verdict.RequestFailure;
  assert.is(failure.reason, verdict.FailureReason.AnswerMismatch);
  assert.is(failure.verdict, verdict.Verdict.MayHaveRun);
  await build.eventually(() => engine.report().runningRequests === 0);
});

suite(
  'concurrent streams on reused connections deliver the text of their own prompts',
  async () => {
    const owner = build.buildOwner();
    const { engine, adapter } = await build.buildEngine(owner, { slots: 32 }, build.PATIENT_LIMITS);
    for (let round = 0; round < 5; round += 1) {
      engine.faults.add({ kind: FaultKind.ResetMidAnswer, atPiece: 3, times: 2 });
      engine.faults.add({ kind: FaultKind.LateAnswer, delayMilliseconds: 20, times: 3 });
      const prompts = Array.from({ length: 24 }, (_unused, index) => `prompt ${round} ${index}`);
      await Promise.all(
        prompts.map(async (prompt, index) => {
          const aborter = new AbortController();
          const request = build.engineRequest(prompt, { signal: aborter.signal });
          const started = await adapter.start(request);
          if (index % 6 === 0) {
            aborter.abort();
          }
          const { pieces, failure } = await build.readStream(started.unwrap());
          const text = build.chatText(pieces);
          const expected = build.expectedText(prompt);
          assert.ok(failure === undefined ? text === expected : expected.startsWith(text), text);
        }),
      );
    }
  },
);

suite.run();

const LATE_ATTEMPTS = 10;
const TIMEOUT_MILLISECONDS = 30;

/** A timer that is later than this shows that the process stood still. */
const LATE_TIMER_MILLISECONDS = 20;
