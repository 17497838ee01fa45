import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('streams while servers of two software versions serve');

const { ServersChanged, AttemptFailed } = decision.DecisionEventKind;
const { Dispatch, Fail, CancelAttempt } = decision.DecisionEffectKind;
const { FailureReason, Verdict } = verdict;

/** Servers whose software versions alternate between two. */
function mixedServers(count: number) {
  return builder
    .listServers(count)
    .map((server, index) => ({ ...server, softwareVersion: index % 2 === 0 ? 'v1' : 'v2' }));
}

function versionOf(serverId: string): string {
  return mixedServers(8).find(({ id }) => id === serverId)!.softwareVersion;
}

function createDriver(servers: ReturnType<typeof mixedServers>): builder.DecisionDriver {
  const driver = builder.createDriver(servers.length);
  const retryLimits = { ratio: 0, slack: 10_000, windowMilliseconds: 10_000 };
  driver.state = { ...driver.state, options: { ...driver.state.options, retryLimits } };
  return driver.apply({ kind: ServersChanged, at: driver.at, servers });
}

function fail(
  driver: builder.DecisionDriver,
  { requestId, attemptId }: decision.Dispatch,
  reason: verdict.FailureReason,
  outcome: verdict.Verdict,
): void {
  const failure = verdict.failure(reason, outcome, 'The attempt failed.');
  driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure });
}

function refuse(driver: builder.DecisionDriver, dispatch: decision.Dispatch): void {
  fail(driver, dispatch, FailureReason.BackendRefused, Verdict.NotRun);
}

/** An answer that still goes on after this time is no suspect when its server crashes. */
const SAFE_BEGIN_MILLISECONDS = 200;

/** Starts streams that have each delivered a few pieces; returns their dispatches. */
function startStreams(driver: builder.DecisionDriver, count: number): decision.Dispatch[] {
  const first = Array.from({ length: count }).flatMap((_, index) => {
    driver.arrive(`stream-${index}`, { isStreamed: true, maximumAttempts: 9 });
    return driver.takeEffects(Dispatch);
  });
  first.forEach((dispatch) => driver.receivePiece(dispatch, 3));
  driver.wait(SAFE_BEGIN_MILLISECONDS);
  first.forEach((dispatch) => driver.receivePiece(dispatch, 4));
  return first;
}

// Guards against text joined from two versions after a server crashed.
suite('a broken stream goes on only at a server of the version that began it', () => {
  const driver = createDriver(mixedServers(6));
  const first = startStreams(driver, 24);
  assert.is(new Set(first.map(({ serverId }) => versionOf(serverId))).size, 2);
  first.forEach((dispatch) => {
    fail(driver, dispatch, FailureReason.Timeout, Verdict.MayHaveRun);
    const [resumed] = driver.takeEffects(Dispatch);
    assert.is(versionOf(resumed.serverId), versionOf(dispatch.serverId));
  });
});

// Guards against a version that is forgotten while attempts are refused, lost and begun again in any order.
suite('no series of failures lets a stream go on at another version', () => {
  [1, 2, 3, 4, 5, 6, 7, 8].forEach((seed) => {
    const random = new clock.SeededRandomSource(seed);
    const driver = createDriver(mixedServers(8));
    startStreams(driver, 20).forEach((dispatch) => {
      let current = dispatch;
      for (let round = 0; round < 6; round += 1) {
        if (random.uniform() < 0.5) {
          refuse(driver, current);
        } else {
          driver.loseConnection(current, Verdict.MayHaveRun);
        }
        const [next] = driver.takeEffects(Dispatch);
        if (next === undefined) {
          return;
        }
        assert.is(versionOf(next.serverId), versionOf(dispatch.serverId));
        if (random.uniform() < 0.5) {
          driver.receivePiece(next, 5 + round);
        }
        current = next;
      }
    });
  });
});

// Guards against a server of another version that is preferred because those of the stream's version may be dead.
suite('a stream goes on at a suspected server rather than at another version', () => {
  const driver = createDriver(mixedServers(4));
  const [dispatch] = startStreams(driver, 1);
  const version = versionOf(dispatch.serverId);
  const servers = mixedServers(4).map((server) => ({
    ...server,
    suspected: server.softwareVersion === version,
  }));
  driver.apply({ kind: ServersChanged, at: driver.at, servers });
  driver.loseConnection(dispatch, Verdict.MayHaveRun);
  const [resumed] = driver.takeEffects(Dispatch);
  assert.is(versionOf(resumed.serverId), version);
});

// Guards against a caller that waits for its whole deadline although nothing can go on with its stream.
suite('a stream ends at once when no server of its version is left', () => {
  const driver = createDriver(mixedServers(4));
  const [dispatch] = startStreams(driver, 1);
  const version = versionOf(dispatch.serverId);
  const servers = mixedServers(4).filter(({ softwareVersion }) => softwareVersion !== version);
  driver.apply({ kind: ServersChanged, at: driver.at, servers });
  driver.loseConnection(dispatch, Verdict.MayHaveRun);
  assert.equal(driver.takeEffects(Dispatch), []);
  assert.is(driver.takeEffects(Fail).length, 1);
});

// Guards against a stream that is cancelled at an engine that loads weights and cannot go on anywhere.
suite('a stream is not moved when only servers of another version could take it', () => {
  const driver = createDriver(mixedServers(2));
  const [dispatch] = startStreams(driver, 1);
  const loading = mixedServers(2).map((server) =>
    server.id === dispatch.serverId ? { ...server, loading: true as const } : server,
  );
  driver.apply({ kind: ServersChanged, at: driver.at, servers: loading });
  [500, 200, 200].forEach((milliseconds) => driver.wait(milliseconds));
  assert.equal(driver.takeEffects(CancelAttempt), []);
});

// Guards against a restriction of requests whose callers have received nothing.
suite('a request without a piece is retried at any version', () => {
  const driver = createDriver(mixedServers(2));
  driver.arrive('request', { isStreamed: true, maximumAttempts: 9 });
  const [dispatch] = driver.takeEffects(Dispatch);
  refuse(driver, dispatch);
  const [retried] = driver.takeEffects(Dispatch);
  assert.is.not(versionOf(retried.serverId), versionOf(dispatch.serverId));
});

suite.run();
