import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as backend from '../../src/backend';
import * as emulator from '../../src/emulator';
import type * as lifecycle from '../../src/lifecycle';
import * as stream from '../../src/stream';
import * as verdict from '../../src/verdict';
import * as build from './build';
import * as silentProxy from './silent-proxy';

const suite = uvu.suite('broken streams');
suite.after.each(build.closeOwners);
const { FaultKind } = emulator;
const { FailureReason, Verdict } = verdict;

/** What a caller received from a stream that was resumed until it ended. */
interface Delivery {
  readonly text: string;
  readonly breaks: readonly string[];
}

/** Reads one attempt through the stream check; returns the new state and why the attempt failed, if it did. */
async function readAttempt(
  adapter: backend.ModelEngine,
  prompt: string,
  before: stream.StreamState,
  deliver: (piece: backend.StreamPiece) => void,
): Promise<{ state: stream.StreamState; broken?: string }> {
  const resumeFrom = stream.resumePoint(before);
  let state = stream.resume(before, resumeFrom);
  const started = await adapter.start(build.engineRequest(prompt, { resumeFrom }));
  if (started.err) {
    return { state, broken: started.val.reason };
  }
  for await (const result of started.val.pieces()) {
    if (result.err) {
      assert.is(result.val.verdict, Verdict.MayHaveRun);
      return { state, broken: result.val.reason };
    }
    const accepted = stream.accept(state, result.val);
    state = accepted.state;
    for (const effect of accepted.effects) {
      if (effect.kind === stream.StreamEffectKind.Break) {
        await started.val.cancel();
        return { state, broken: effect.fault };
      }
      if (effect.kind === stream.StreamEffectKind.Deliver) {
        deliver(effect.piece);
      }
    }
  }
  return { state };
}

async function deliverAll(
  adapters: readonly backend.ModelEngine[],
  prompt: string,
): Promise<Delivery> {
  const pieces: backend.StreamPiece[] = [];
  const breaks: string[] = [];
  let state = stream.initialState();
  for (let attempt = 0; !state.ended && attempt < adapters.length; attempt += 1) {
    const outcome = await readAttempt(adapters[attempt], prompt, state, (piece) =>
      pieces.push(piece),
    );
    state = outcome.state;
    if (outcome.broken !== undefined) {
      breaks.push(outcome.broken);
    }
  }
  assert.ok(state.ended, `the stream never ended after ${breaks.join(', ')}`);
  return { text: build.chatText(pieces), breaks };
}

/** A faulty engine and a correct one. */
async function buildTwo(owner: lifecycle.LifecycleManager, fault: emulator.FaultInput) {
  const faulty = await build.buildEngine(owner);
  const sound = await build.buildEngine(owner);
  faulty.engine.faults.add(fault);
  return { faulty, adapters: [faulty.adapter, sound.adapter] };
}

[
  { kind: FaultKind.ResetMidAnswer, broken: FailureReason.ConnectionLost },
  { kind: FaultKind.Silent, broken: FailureReason.Timeout },
  { kind: FaultKind.EndEarly, broken: FailureReason.StreamBroken },
  { kind: FaultKind.SkipPiece, broken: stream.StreamFault.Gap },
  { kind: FaultKind.RepeatPiece, broken: stream.StreamFault.Repeat },
  { kind: FaultKind.RestartText, broken: stream.StreamFault.Restart },
].forEach(({ kind, broken }) => {
  suite(`an answer arrives whole and in order from another engine after ${kind}`, async () => {
    const owner = build.buildOwner();
    for (const atPiece of [1, 4, 8]) {
      const { faulty, adapters } = await buildTwo(owner, { kind, atPiece });
      const { text, breaks } = await deliverAll(adapters, `prompt ${atPiece}`);
      assert.is(text, build.expectedText(`prompt ${atPiece}`));
      assert.equal(breaks, [broken]);
      await build.eventually(() => faulty.engine.report().runningRequests === 0);
    }
  });
});

suite('an engine that resumes with a different text is detected', async () => {
  const owner = build.buildOwner();
  const { adapters } = await buildTwo(owner, { kind: FaultKind.EndEarly, atPiece: 4 });
  const other = await build.buildEngine(owner);
  other.engine.faults.add({ kind: FaultKind.EndEarly, atPiece: 4 });
  const state = stream.initialState();
  const first = await readAttempt(adapters[0], 'one prompt', state, () => {});
  const second = await readAttempt(adapters[1], 'another prompt', first.state, () => {});
  assert.is(second.broken, stream.StreamFault.Restart);
});

suite('an engine that restarts empty under the same address breaks its streams', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(owner, { decodeTokensPerSecond: 50 });
  const started = (await adapter.start(build.engineRequest('restart'))).unwrap();
  const before = started.head.incarnation;
  const reading = build.readStream(started);
  await engine.restart();
  assert.is((await reading).failure?.reason, FailureReason.ConnectionLost);
  const again = (await adapter.start(build.engineRequest('restart'))).unwrap();
  assert.is.not(again.head.incarnation, before);
});

suite('comment lines keep a stream alive that waits for a slot or a long prefill', async () => {
  const owner = build.buildOwner();
  const { adapter } = await build.buildEngine(owner, { slots: 1, decodeTokensPerSecond: 14 });
  const requests = ['first', 'second'].map((prompt) =>
    adapter
      .start(build.engineRequest(prompt))
      .then((started) => build.readStream(started.unwrap())),
  );
  const streams = await Promise.all(requests);
  assert.is(build.chatText(streams[1].pieces), build.expectedText('second'));
});

suite('a frozen engine is silent before its head', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(owner);
  engine.freeze();
  const failure = (await adapter.start(build.engineRequest('frozen'))).val;
  assert.is((failure as verdict.RequestFailure).reason, FailureReason.Timeout);
  assert.is((failure as verdict.RequestFailure).verdict, Verdict.MayHaveRun);
  assert.is((await adapter.probe()).err, true);
  engine.thaw();
  assert.is((await adapter.probe()).ok, true);
});

suite('an engine that crashes with the request is reported as may have run', async () => {
  const owner = build.buildOwner();
  const { engine, adapter } = await build.buildEngine(owner, { crashMarker: 'poison' });
  const before = engine.incarnation;
  const failure = (await adapter.start(build.engineRequest('poison'))).val;
  assert.is((failure as verdict.RequestFailure).verdict, Verdict.MayHaveRun);
  await build.eventually(() => engine.incarnation !== before);
});

Object.values(silentProxy.DropDirection).forEach((direction) => {
  suite(`a stream over a half-open connection that drops ${direction}`, async () => {
    const owner = build.buildOwner();
    // The generation of 8 tokens takes longer than the silence timeout.
    const options = { decodeTokensPerSecond: 4 };
    const { engine } = await build.buildEngine(owner, options);
    const proxy = new silentProxy.SilentProxy(engine.port);
    owner.register('proxy', () => proxy.close());
    const adapter = build.buildEngineAdapter(owner, await proxy.listen());
    const started = (await adapter.start(build.engineRequest('half-open'))).unwrap();
    const reading = build.readStream(started);
    await build.eventually(() => engine.report().runningRequests === 1);
    proxy.silence(direction);
    const { failure } = await reading;
    const answersLost = direction !== silentProxy.DropDirection.Requests;
    assert.is(failure?.reason, answersLost ? FailureReason.Timeout : undefined);
    // Only the cancel call on a new connection stops the generation of a silent stream.
    await build.eventually(() => engine.report().runningRequests === 0);
    assert.is(engine.report().cancelled, answersLost ? 1 : 0);
    assert.ok((await adapter.probe()).ok, 'the probe used the half-open connection');
  });
});

suite('a slow reader pauses the engine and still gets the whole answer', async () => {
  const owner = build.buildOwner();
  const { engine } = await build.buildEngine(owner, { decodeTokensPerSecond: 1e6 });
  const limits = { ...build.QUICK_LIMITS, maximumBufferedBytes: 500 };
  const adapter = build.buildEngineAdapter(owner, engine.port, limits);
  const started = (await adapter.start(build.engineRequest('slow'))).unwrap();
  await new Promise((resolve) => {
    setTimeout(resolve, 2 * limits.silenceMilliseconds);
  });
  const { pieces, failure } = await build.readStream(started);
  assert.is(failure, undefined, 'a paused stream counted as silent');
  assert.is(build.chatText(pieces), build.expectedText('slow'));
});

suite.run();
