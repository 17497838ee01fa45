import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('decision task');

suite('a fault in the core ends the request concerned and nothing else', () => {
  const seen: string[] = [];
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      if (event.kind === decision.DecisionEventKind.RequestArrived) {
        throw new Error('fault in the core');
      }
      seen.push(event.kind);
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => true,
  };
  const time = new clock.ManualClock();
  const task = new routing.DecisionTask(core, time, () => {});
  const failures: verdict.RequestFailure[] = [];
  task.submit({
    profile: profileOf('request-1'),
    isRunning: false,
    dispatch: () => {},
    cancelAttempt: () => {},
    fail: (failure) => failures.push(failure),
  });
  time.advance(20);
  task.close();
  assert.is(failures[0]?.reason, verdict.FailureReason.Internal);
  assert.is(task.activeRequests, 0);
  assert.equal(seen, ['request-cancelled', 'tick']);
});

/** Ticks within one second of a task whose core tells whether requests wait. */
function ticksOf(isWaiting: boolean, requests: number): number {
  let ticks = 0;
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      ticks += event.kind === decision.DecisionEventKind.Tick ? 1 : 0;
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => isWaiting,
  };
  const time = new clock.ManualClock();
  const task = new routing.DecisionTask(core, time, () => {});
  for (let index = 0; index < requests; index += 1) {
    task.submit(executionOf(`request-${index}`));
  }
  time.advance(1_000);
  task.close();
  return ticks;
}

// Guards against refusals that come late, and against a daemon that wakes up often for nothing.
suite('ticks are frequent only while requests wait', () => {
  assert.is(ticksOf(true, 2), 50);
  assert.is(ticksOf(false, 2), 20);
  assert.is(ticksOf(false, 0), 1);
});

// Guards against a deadline that is noticed only at the next tick of a daemon that had no request waiting.
suite('a request that begins to wait brings the next tick forward', () => {
  const ticks: number[] = [];
  let isWaiting = false;
  const time = new clock.ManualClock();
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      if (event.kind === decision.DecisionEventKind.Tick) {
        ticks.push(time.monotonic());
      }
      isWaiting ||= event.kind === decision.DecisionEventKind.AttemptFailed;
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => isWaiting,
  };
  const task = new routing.DecisionTask(core, time, () => {});
  task.submit(executionOf('request-1'));
  time.advance(10);
  const { AttemptFailed } = decision.DecisionEventKind;
  const failure = verdict.failure(verdict.FailureReason.Timeout, verdict.Verdict.NotRun, '');
  const names = { requestId: 'request-1', attemptId: 'request-1/0' };
  task.feed({ kind: AttemptFailed, at: 10, ...names, failure });
  time.advance(40);
  task.close();
  assert.equal(ticks, [30, 50]);
});

function executionOf(requestId: string): Parameters<routing.DecisionTask['submit']>[0] {
  return {
    profile: profileOf(requestId),
    isRunning: false,
    dispatch: () => {},
    cancelAttempt: () => {},
    fail: () => {},
  };
}

// Guards against a configuration that was made just before the end of a grace and replaces the one made just after it.
suite('a configuration that changed with time while it was handed over is not undone', () => {
  const revisions: number[] = [];
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      if (event.kind === decision.DecisionEventKind.ConfigurationChanged) {
        revisions.push(event.snapshot.revision);
      }
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => false,
  };
  const changed = (revision: number, at: number): decision.ConfigurationChanged => ({
    kind: decision.DecisionEventKind.ConfigurationChanged,
    at,
    snapshot: { revision, documents: new Map() },
  });
  const time = new clock.ManualClock();
  const renewals = [2];
  const task = new routing.DecisionTask(
    core,
    time,
    () => {},
    (at) => renewals.splice(0).map((revision) => changed(revision, at))[0],
  );
  task.feed(changed(1, 0));
  time.advance(1_000);
  task.close();
  assert.is(revisions.at(-1), 2);
});

// Guards against a stream that is taken back in the moment in which its first piece shows that it has begun.
suite('a piece counts before what has changed with time', () => {
  const seen: string[] = [];
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      seen.push(event.kind);
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => false,
  };
  const time = new clock.ManualClock();
  const snapshot = { revision: 2, documents: new Map() };
  const kind = decision.DecisionEventKind.ConfigurationChanged;
  const renewals: decision.ConfigurationChanged[] = [{ kind, at: 0, snapshot }];
  const task = new routing.DecisionTask(
    core,
    time,
    () => {},
    () => renewals.shift(),
  );
  const attempt = { requestId: 'request-1', attemptId: 'request-1/0' };
  const piece = decision.DecisionEventKind.PieceReceived;
  task.feed({ kind: piece, at: 0, ...attempt, nextPiece: 1 });
  time.advance(1_000);
  task.close();
  assert.equal(seen, ['piece-received', 'configuration-changed', 'tick']);
});

function profileOf(requestId: string): decision.RequestProfile {
  return {
    requestId,
    team: 'market-roasters',
    service: 'inspection-desk',
    class: configuration.RequestClass.Short,
    prefixChain: [],
    promptTokens: 10,
    expectedOutputTokens: 10,
    idempotent: true,
    priority: 5,
    firstTokenDeadline: 1_000,
    fingerprint: 'f',
  };
}

suite.run();
