import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as decision from '../../src/decision';
import type * as membership from '../../src/membership';
import * as verdict from '../../src/verdict';
import * as builder from './builder';
import * as pauseHistory from './pause-history';

const { DecisionEffectKind, DecisionEventKind } = decision;

const suite = uvu.suite('pause that a server asks for');

function pause(
  driver: builder.DecisionDriver,
  serverId: string,
  pauseMilliseconds: number,
  incarnation: string | null = 'first',
): builder.DecisionDriver {
  const kind = DecisionEventKind.ServerPaused;
  const run = incarnation === null ? {} : { incarnation };
  return driver.apply({ kind, at: driver.at, serverId, pauseMilliseconds, ...run });
}

function refuse(
  driver: builder.DecisionDriver,
  { requestId, attemptId }: decision.Dispatch,
): builder.DecisionDriver {
  const { BackendRefused } = verdict.FailureReason;
  const failure = verdict.failure(BackendRefused, verdict.Verdict.NotRun, 'Refused.');
  const kind = DecisionEventKind.AttemptFailed;
  return driver.apply({ kind, at: driver.at, requestId, attemptId, failure });
}

function list(driver: builder.DecisionDriver, servers: readonly membership.EligibleServer[]) {
  return driver.apply({ kind: DecisionEventKind.ServersChanged, at: driver.at, servers });
}

/** Servers to which the next requests go. */
function usedServers(driver: builder.DecisionDriver, requests = 4): string[] {
  driver.takeEffects(DecisionEffectKind.Dispatch);
  Array.from({ length: requests }, (_, index) => driver.arrive(`probe-${driver.at}-${index}`));
  const dispatched = driver.takeEffects(DecisionEffectKind.Dispatch);
  dispatched.forEach((dispatch) => driver.finish(dispatch));
  return [...new Set(dispatched.map(({ serverId }) => serverId))].sort();
}

// Guards against requests at a server that wants none, and against a server that is forgotten after its pause.
suite('a server that pauses gets no request until the end, and then some again', () => {
  const driver = pause(builder.createDriver(2), 'runner-0', 4_000);
  assert.equal(usedServers(driver), ['runner-1']);
  driver.wait(3_999);
  assert.equal(usedServers(driver), ['runner-1']);
  driver.wait(1);
  assert.equal(usedServers(driver, 16), ['runner-0', 'runner-1']);
});

suite('a request that is refused goes to another server at once', () => {
  const driver = builder.createDriver(2).arrive('a');
  const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
  refuse(pause(driver, first.serverId, 4_000), first);
  const [second] = driver.takeEffects(DecisionEffectKind.Dispatch);
  assert.is.not(second.serverId, first.serverId);
});

suite('the longest of overlapping pauses counts', () => {
  const driver = pause(pause(builder.createDriver(2), 'runner-0', 4_000), 'runner-0', 500);
  driver.wait(3_999);
  assert.equal(usedServers(driver), ['runner-1']);
});

// Guards against a pause that ends because a request sent before it is served.
suite('an answer that is served does not end a pause', () => {
  const driver = builder.createDriver(1).arrive('a');
  const [running] = driver.takeEffects(DecisionEffectKind.Dispatch);
  pause(driver, 'runner-0', 4_000).finish(running);
  assert.equal(usedServers(driver), []);
});

suite('a read of the list, also one without the server, does not end a pause', () => {
  const driver = pause(builder.createDriver(2), 'runner-0', 4_000);
  const servers = builder.listServers(2);
  list(driver, servers);
  assert.equal(usedServers(driver), ['runner-1']);
  list(driver, servers.slice(1)).wait(100);
  list(driver, servers);
  assert.equal(usedServers(driver), ['runner-1']);
});

suite(
  'a server that starts again is free, and a late answer of the run before pauses nothing',
  () => {
    const driver = pause(builder.createDriver(1), 'runner-0', 4_000);
    const [server] = builder.listServers(1);
    list(driver, [{ ...server, incarnation: 'second' }]);
    assert.equal(usedServers(driver), ['runner-0']);
    pause(driver, 'runner-0', 60_000, 'first');
    assert.equal(usedServers(driver), ['runner-0']);
    pause(driver, 'runner-0', 1_000, 'second');
    assert.equal(usedServers(driver), []);
  },
);

suite('another server at the same address is free', () => {
  const driver = pause(builder.createDriver(1), 'runner-0', 4_000);
  const [server] = builder.listServers(1);
  list(driver, [{ ...server, id: 'runner-9' }]);
  assert.equal(usedServers(driver), ['runner-9']);
});

suite('a pause of an unknown run belongs to the first run that is observed', () => {
  const driver = builder.createDriver(1);
  const [listed] = builder.listServers(1);
  const server = { ...listed, incarnation: undefined };
  list(list(driver, []), [server]);
  pause(driver, 'runner-0', 4_000, null);
  assert.equal(usedServers(driver), []);
  list(driver, [{ ...server, incarnation: 'first' }]);
  assert.equal(usedServers(driver), []);
  list(driver, [{ ...server, incarnation: 'second' }]);
  assert.ok(driver.takeEffects(DecisionEffectKind.Dispatch).length > 0);
});

// Guards against requests that wait for the server that has their prefix, and go elsewhere only after its pause.
suite(
  'a request that waits for the server with its prefix goes elsewhere as soon as that pauses',
  () => {
    const driver = builder.createDriver(2, 1);
    const changes = { prefixChain: ['drawings', 'drawing'], promptTokens: 40_000 };
    driver.arrive('a', changes);
    const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
    driver.finish(first).arrive('b', changes);
    const [second] = driver.takeEffects(DecisionEffectKind.Dispatch);
    assert.is(second.serverId, first.serverId);
    driver.arrive('c', changes);
    assert.equal(driver.takeEffects(DecisionEffectKind.Dispatch), []);
    pause(driver, first.serverId, 4_000);
    const [third] = driver.takeEffects(DecisionEffectKind.Dispatch);
    assert.is(third.requestId, 'c');
    assert.is.not(third.serverId, first.serverId);
  },
);

// Guards against a healthy-looking server that hides a suspected one: while it pauses, nothing else is left.
suite('a suspected server is used while all others pause', () => {
  const [first, second] = builder.listServers(2);
  const driver = list(builder.createDriver(2), [first, { ...second, suspected: true }]);
  assert.equal(usedServers(driver), ['runner-0']);
  pause(driver, 'runner-0', 4_000);
  assert.equal(usedServers(driver), ['runner-1']);
});

suite('while all servers pause beyond the deadline, a request is refused at once', () => {
  const driver = builder.createDriver(2);
  pause(pause(driver, 'runner-0', 40_000), 'runner-1', 12_000).arrive('a');
  const [{ failure }] = driver.takeEffects(DecisionEffectKind.Fail);
  assert.is(failure.verdict, verdict.Verdict.NotRun);
  assert.is(failure.retryAfterMilliseconds, 12_000);
  pause(driver, 'runner-1', 90_000).arrive('b');
  assert.is(driver.takeEffects(DecisionEffectKind.Fail)[0].failure.retryAfterMilliseconds, 30_000);
});

// Guards against requests that a pause finds in the queue, and that would wait there for their deadline.
suite('a waiting request fails as soon as the last server pauses beyond its deadline', () => {
  const driver = pause(builder.createDriver(2), 'runner-0', 20_000);
  pause(driver, 'runner-1', 3_000).arrive('a').wait(1_000);
  assert.equal(driver.takeEffects(DecisionEffectKind.Fail), []);
  pause(driver, 'runner-1', 20_000);
  assert.is(driver.takeEffects(DecisionEffectKind.Fail).length, 1);
});

suite(
  'a waiting request fails as soon as the last server that takes requests in time leaves',
  () => {
    const driver = pause(builder.createDriver(2), 'runner-0', 20_000);
    pause(driver, 'runner-1', 3_000).arrive('a');
    assert.equal(driver.takeEffects(DecisionEffectKind.Fail), []);
    list(driver, builder.listServers(1));
    assert.is(driver.takeEffects(DecisionEffectKind.Fail).length, 1);
  },
);

suite('while the servers pause or load weights, a request is refused at once', () => {
  const [first, second] = builder.listServers(2);
  const driver = list(builder.createDriver(2), [first, { ...second, loading: true as const }]);
  pause(driver, 'runner-0', 20_000).arrive('a');
  assert.is(driver.takeEffects(DecisionEffectKind.Fail).length, 1);
});

suite('the last server that refuses ends the request at once', () => {
  const driver = builder.createDriver(2).arrive('a');
  [1, 2].forEach(() => {
    const [dispatch] = driver.takeEffects(DecisionEffectKind.Dispatch);
    refuse(pause(driver, dispatch.serverId, 20_000), dispatch);
  });
  assert.is(driver.takeEffects(DecisionEffectKind.Fail).length, 1);
  assert.equal(driver.takeEffects(DecisionEffectKind.Dispatch), []);
});

// Guards against a wake-up that is missed: nothing but time passes at the end of a pause.
suite('a request that waits for the end of a pause is sent at the first tick after it', () => {
  const driver = pause(pause(builder.createDriver(2), 'runner-0', 2_010), 'runner-1', 9_000);
  driver.arrive('a').wait(2_000);
  assert.ok(decision.isWaiting(driver.state));
  assert.equal(driver.takeEffects(DecisionEffectKind.Dispatch), []);
  driver.wait(20);
  const [dispatch] = driver.takeEffects(DecisionEffectKind.Dispatch);
  assert.is(dispatch.serverId, 'runner-0');
});

suite('a started stream waits for the end of a pause and then goes on', () => {
  const driver = builder.createDriver(1).arrive('a');
  const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
  driver.receivePiece(first, 1);
  pause(driver, 'runner-0', 2_000).loseConnection(first, verdict.Verdict.MayHaveRun);
  driver.wait(1_900);
  assert.equal(driver.takeEffects(DecisionEffectKind.Dispatch), []);
  driver.wait(100).wait(100);
  assert.is(driver.takeEffects(DecisionEffectKind.Dispatch).length, 1);
});

suite('a started stream whose deadline is before the end of all pauses fails at once', () => {
  const driver = builder.createDriver(1).arrive('a', { answerDeadline: 5_000 });
  const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
  driver.receivePiece(first, 1);
  pause(driver, 'runner-0', 6_000).loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(driver.takeEffects(DecisionEffectKind.Fail).length, 1);
});

// Guards against a pause somewhere that ends streams and requests with little time left, for which a server is free.
suite('a pause of a server that a request does not need decides nothing for it', () => {
  const driver = builder.createDriver(2).arrive('a', { answerDeadline: 5_000 });
  const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
  driver.wait(1_000).receivePiece(first, 1).wait(3_990);
  pause(driver, 'elsewhere', 60_000).loseConnection(first, verdict.Verdict.MayHaveRun);
  assert.is(driver.takeEffects(DecisionEffectKind.Dispatch).length, 1);
  assert.equal(driver.takeEffects(DecisionEffectKind.Fail), []);
});

// Guards against requests that are refused for half a minute because the only server pauses a second while it loads weights.
suite('a request waits for the only server that pauses and loads weights', () => {
  const [server] = builder.listServers(1);
  const driver = list(builder.createDriver(1), [{ ...server, loading: true as const }]);
  pause(driver, 'runner-0', 1_000).arrive('a').wait(1_000);
  assert.equal(driver.takeEffects(DecisionEffectKind.Fail), []);
  list(driver, [server]).wait(100);
  assert.is(driver.takeEffects(DecisionEffectKind.Dispatch).length, 1);
});

// Guards against streams that are cut although a server will go on with them once it has loaded its weights.
suite('a started stream waits for a server that loads weights while the others pause', () => {
  const driver = builder.createDriver(2).arrive('a', { answerDeadline: 30_000 });
  const [running] = driver.takeEffects(DecisionEffectKind.Dispatch);
  driver.receivePiece(running, 1);
  const servers = builder.listServers(2);
  const loading = servers.map((server) =>
    server.id === running.serverId ? server : { ...server, loading: true as const },
  );
  list(driver, loading);
  pause(driver, running.serverId, 60_000).loseConnection(running, verdict.Verdict.MayHaveRun);
  assert.equal(driver.takeEffects(DecisionEffectKind.Fail), []);
  list(driver, servers).wait(100);
  const [next] = driver.takeEffects(DecisionEffectKind.Dispatch);
  assert.is.not(next.serverId, running.serverId);
});

// Guards against a pause that is forgotten with the run that a load report has told, if the list does not name runs.
suite(
  'a list without the entry does not end the pause of a server whose run it does not name',
  () => {
    const driver = builder.createDriver(2);
    const [first, second] = builder.listServers(2);
    const servers = [{ ...first, incarnation: undefined }, second];
    list(list(driver, [second]), servers).apply({
      kind: DecisionEventKind.LoadReported,
      at: driver.at,
      serverId: 'runner-0',
      incarnation: 'runner-0',
      weightsVersion: '',
      ageMilliseconds: 0,
      runningRequests: 0,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
    });
    pause(driver, 'runner-0', 4_000, null);
    list(list(driver, [second]), servers);
    assert.equal(usedServers(driver, 16), ['runner-1']);
  },
);

// Guards against late first tokens that are sent a second time to a server which wants nothing.
suite('a hedge does not go to a server that pauses', () => {
  const driver = builder.createDriver(2);
  const hedgeBudget = { credit: 1, ratio: 0, maximum: 1 };
  driver.state = { ...driver.state, hedgeBudget };
  driver.arrive('a');
  const [first] = driver.takeEffects(DecisionEffectKind.Dispatch);
  const other = first.serverId === 'runner-0' ? 'runner-1' : 'runner-0';
  pause(driver, other, 3_000);
  driver.wait(1_500);
  assert.equal(driver.takeEffects(DecisionEffectKind.Dispatch), []);
  driver.wait(1_500);
  assert.equal(
    driver.takeEffects(DecisionEffectKind.Dispatch).map(({ serverId, hedge }) => [serverId, hedge]),
    [[other, true]],
  );
});

suite('pauses that have ended are forgotten', () => {
  const driver = pause(builder.createDriver(2), 'runner-0', 500);
  driver.wait(1_500);
  assert.ok(driver.state.serverPauses.isEmpty());
});

function check(property: (history: pauseHistory.PauseHistory) => void): void {
  const steps = fastCheck.array(pauseHistory.actions, {
    minLength: 20,
    maxLength: 100,
    size: 'max',
  });
  fastCheck.assert(
    fastCheck.property(steps, (actions) => {
      const history = new pauseHistory.PauseHistory();
      actions.forEach((action) => history.act(action));
      property(history);
    }),
    { seed: 20_261_206, numRuns: 150 },
  );
}

suite('no request reaches a run of a server within a pause, in any order of events', () =>
  check((history) => assert.equal(history.sentInPause, [])),
);

suite('each request ends, none waits for its deadline while all servers pause beyond it', () =>
  check((history) => {
    assert.equal(history.waitingInVain, []);
    history.drain();
    assert.is(history.driver.state.requests.size, 0);
  }),
);

suite('a request that waits is sent once a server takes it', () =>
  check((history) => assert.equal(history.missedWakeUps, [])),
);

suite.run();
