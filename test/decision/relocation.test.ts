import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('streams of an engine that loads weights');

const { AttemptFailed, ServersChanged } = decision.DecisionEventKind;
const { CancelAttempt, Dispatch, Fail } = decision.DecisionEffectKind;

const WINDOW_MILLISECONDS = 10_000;

/** Streams that run at the first of several servers, which gets an order to load weights. */
function startLoading(
  servers: number,
  streams: number,
  retries: { readonly ratio: number; readonly slack: number },
  earlierRequests = 0,
  waitMilliseconds = 0,
): { driver: builder.DecisionDriver; running: readonly decision.Dispatch[] } {
  const driver = builder.createDriver(servers);
  const retryLimits = { ...retries, windowMilliseconds: WINDOW_MILLISECONDS };
  driver.state = {
    ...driver.state,
    options: { ...driver.state.options, retryLimits },
    daemons: 1,
  };
  const [first, ...others] = builder.listServers(servers);
  driver.apply({ kind: ServersChanged, at: driver.at, servers: [first] });
  Array.from({ length: earlierRequests }, (_, index) =>
    driver
      .arrive(`earlier-${index}`)
      .takeEffects(Dispatch)
      .forEach((dispatch) => driver.finish(dispatch)),
  );
  Array.from({ length: streams }, (_, index) =>
    driver.arrive(`stream-${index}`, { isStreamed: true, maximumAttempts: 2 }),
  );
  const running = driver.takeEffects(Dispatch);
  running.forEach((dispatch) => driver.receivePiece(dispatch, 5));
  driver.wait(waitMilliseconds);
  const loading = [{ ...first, loading: true as const }, ...others];
  driver.apply({ kind: ServersChanged, at: driver.at, servers: loading });
  [500, 200].forEach((milliseconds) => driver.wait(milliseconds));
  return { driver, running };
}

function refuse(driver: builder.DecisionDriver, refused: readonly decision.Dispatch[]): void {
  const { BackendRefused } = verdict.FailureReason;
  const failure = verdict.failure(BackendRefused, verdict.Verdict.NotRun, 'Loads weights.');
  refused.forEach(({ requestId, attemptId }) =>
    driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure }),
  );
}

// Guards against streams that are moved with the last retries and cut when the next engine refuses them.
suite('streams that were moved go on although the next engine refuses all of them', () => {
  const { driver } = startLoading(3, 6, { ratio: 0, slack: 8 });
  driver.wait(200);
  const moved = driver.takeEffects(Dispatch);
  assert.ok(moved.length > 0, 'streams are moved');
  refuse(driver, moved);
  assert.equal(driver.takeEffects(Fail), []);
});

// Guards against a run that is given up before another server has taken its stream.
suite('a stream runs on at its engine until another server delivers its next piece', () => {
  const { driver, running } = startLoading(3, 1, { ratio: 0, slack: 8 });
  const [refused] = driver.takeEffects(Dispatch);
  refuse(driver, [refused]);
  assert.equal(driver.takeEffects(CancelAttempt), []);
  const [taken] = driver.wait(400).takeEffects(Dispatch);
  driver.receivePiece(running[0], 9);
  assert.equal(driver.takeEffects(CancelAttempt), []);
  driver.receivePiece(taken, 6);
  const cancelled = driver.takeEffects(CancelAttempt);
  assert.equal(
    cancelled.map(({ attemptId, reason }) => [attemptId, reason]),
    [[running[0].attemptId, decision.CancelReason.Relocated]],
  );
});

// Guards against streams that keep an engine from loading because the first server that is asked has to read their prompt.
suite('a stream is offered again to the server that was late, and to no further one', () => {
  const { driver, running } = startLoading(6, 1, { ratio: 0, slack: 20 });
  const [late] = driver.takeEffects(Dispatch);
  const { requestId, attemptId } = late;
  const { MayHaveRun } = verdict.Verdict;
  const failure = verdict.failure(verdict.FailureReason.Overloaded, MayHaveRun, 'Late.');
  driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure });
  assert.equal(driver.wait(200).takeEffects(Dispatch), []);
  const [second] = driver.wait(200).takeEffects(Dispatch);
  assert.is(second.serverId, late.serverId);
  assert.equal(driver.takeEffects(CancelAttempt), []);
  driver.receivePiece(second, 6);
  assert.is(driver.takeEffects(CancelAttempt)[0].attemptId, running[0].attemptId);
});

// Guards against streams of a stopping gateway, whose retries are a share of requests that it no longer gets (LOST).
suite(
  'streams go on at their engine when the retries run out after new requests have ended',
  () => {
    const { driver, running } = startLoading(3, 4, { ratio: 0.2, slack: 2 }, 26, 9_000);
    const moved = driver.takeEffects(Dispatch);
    assert.ok(moved.length > 1, 'streams are moved');
    driver.wait(WINDOW_MILLISECONDS - 9_000);
    refuse(driver, moved);
    for (let round = 0; round < 20; round += 1) {
      refuse(driver, driver.wait(100).takeEffects(Dispatch));
    }
    assert.equal(driver.takeEffects(Fail), []);
    assert.equal(driver.takeEffects(CancelAttempt), []);
    running.forEach((dispatch) => driver.finish(dispatch));
    assert.is(driver.state.requests.size, 0);
  },
);

// Guards against a stream that ends with the server which was offered it, or with its own one.
suite('a stream goes on at either server when the other one fails', () => {
  const { driver, running } = startLoading(3, 2, { ratio: 0, slack: 20 });
  const offers = driver.takeEffects(Dispatch);
  driver.loseConnection(offers[0], verdict.Verdict.MayHaveRun);
  driver.loseConnection(running[1], verdict.Verdict.MayHaveRun);
  assert.equal(driver.takeEffects(Fail), []);
  assert.equal(driver.takeEffects(Dispatch), []);
  driver.finish(running[0]).receivePiece(offers[1], 6).finish(offers[1]);
  assert.is(driver.state.requests.size, 0);
});

// Guards against streams that move to an engine which gets the order next, and again from there.
suite('a stream moves to engines that have the desired weights, or load them last', () => {
  const { driver } = startLoading(6, 0, { ratio: 0, slack: 20 });
  const servers = builder
    .listServers(6)
    .map((server, index) => ({ ...server, weightsVersion: index === 1 ? 'v1' : 'v0' }));
  driver.apply({ kind: ServersChanged, at: driver.at, servers: servers.slice(0, 1) });
  Array.from({ length: 4 }, (_, index) => driver.arrive(`stream-${index}`, { isStreamed: true }));
  driver.takeEffects(Dispatch).forEach((dispatch) => driver.receivePiece(dispatch, 5));
  const loading = [{ ...servers[0], loading: true as const }, ...servers.slice(1)];
  driver.apply({ kind: ServersChanged, at: driver.at, servers: loading });
  [500, 200].forEach((milliseconds) => driver.wait(milliseconds));
  const targets = driver.takeEffects(Dispatch).map(({ serverId }) => serverId);
  assert.ok(targets.length > 0, 'streams are moved');
  assert.not.ok(targets.includes('runner-2'), 'the engine that is ordered next');
});

suite.run();
