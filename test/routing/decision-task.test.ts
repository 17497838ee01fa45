import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('decision task');

suite('an exception in the core ends the affected request and nothing else', () => {
  const applied: string[] = [];
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      if (event.kind === decision.DecisionEventKind.RequestArrived) {
        throw new Error('fault in the core');
      }
      applied.push(event.kind);
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
  assert.equal(applied, ['request-cancelled', 'tick']);
});

/** Number of ticks within one second of a task whose core reports whether requests wait. */
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

// Guards against late refusals, and against a daemon that wakes up often without need.
suite('ticks are frequent only while requests wait', () => {
  assert.is(ticksOf(true, 2), 50);
  assert.is(ticksOf(false, 2), 20);
  assert.is(ticksOf(false, 0), 1);
});

// Guards against a deadline that is noticed late: a daemon without waiting requests ticks at long intervals.
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

// Guards against a configuration that was built just before a grace period ends and then replaces the one that
// was built just after it.
suite('a configuration that became due while another one was fed is not undone', () => {
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
  const dueEvents = [2];
  const task = new routing.DecisionTask(
    core,
    time,
    () => {},
    (at) => dueEvents.splice(0).map((revision) => changed(revision, at))[0],
  );
  task.feed(changed(1, 0));
  time.advance(1_000);
  task.close();
  assert.is(revisions.at(-1), 2);
});

// Guards against a stream that the due event cancels although its first piece, which shows that it has begun, arrived
// before.
suite('a piece is applied before the event that became due', () => {
  const applied: string[] = [];
  const core: routing.DecisionCore<unknown> = {
    startState: undefined,
    update: (state, event) => {
      applied.push(event.kind);
      return { startState: state, state, effects: [] };
    },
    isWaiting: () => false,
  };
  const time = new clock.ManualClock();
  const snapshot = { revision: 2, documents: new Map() };
  const kind = decision.DecisionEventKind.ConfigurationChanged;
  const dueEvents: decision.ConfigurationChanged[] = [{ kind, at: 0, snapshot }];
  const task = new routing.DecisionTask(
    core,
    time,
    () => {},
    () => dueEvents.shift(),
  );
  const attempt = { requestId: 'request-1', attemptId: 'request-1/0' };
  const piece = decision.DecisionEventKind.PieceReceived;
  task.feed({ kind: piece, at: 0, ...attempt, nextPiece: 1 });
  time.advance(1_000);
  task.close();
  assert.equal(applied, ['piece-received', 'configuration-changed', 'tick']);
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
