import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('requests of a server that is found dead');

const { ServerCrashed, ServersChanged } = decision.DecisionEventKind;
const { Dispatch, Fail } = decision.DecisionEffectKind;

/** Two requests at the only server, which has no room for the two that wait. */
function fill(): builder.DecisionDriver {
  const driver = builder.createDriver(1, 2);
  ['a', 'b', 'c', 'd'].forEach((id) => driver.arrive(id));
  assert.is(driver.takeEffects(Dispatch).length, 2);
  return driver;
}

function crash(driver: builder.DecisionDriver, isDead?: true): decision.Dispatch[] {
  driver.apply({ kind: ServerCrashed, at: driver.at, serverId: 'runner-0', isDead });
  return driver.takeEffects(Dispatch);
}

// Guards against requests that are sent, with nothing known of their server, to one that probes have just found dead.
suite('a dead server gets neither the requests that it lost nor those that wait', () => {
  const driver = fill();
  assert.equal(crash(driver, true), []);
  driver.apply({ kind: ServersChanged, at: driver.at, servers: [] });
  assert.equal(driver.takeEffects(Dispatch), []);
});

// Guards against a server that gets no requests after its restart.
suite('a server that has restarted gets requests at once', () => {
  assert.ok(crash(fill()).length > 0);
});

// Guards against a server that gets no requests after a probe has found it alive.
suite('a server that was dead gets requests once it is listed', () => {
  const driver = fill();
  crash(driver, true);
  driver.apply({ kind: ServersChanged, at: driver.at, servers: builder.listServers(1) });
  assert.ok(driver.takeEffects(Dispatch).length > 0);
});

/** Loses two requests with a dead server; then one of a server that lives. */
function loseAfter(loss: (driver: builder.DecisionDriver) => void): decision.Fail[] {
  const driver = builder.createDriver(1, 2);
  const retryLimits = { ratio: 0, slack: 2, windowMilliseconds: 10_000 };
  const options = { ...driver.state.options, retryLimits };
  driver.state = { ...driver.state, options, daemons: 1 };
  ['a', 'b'].forEach((id) => driver.arrive(id));
  loss(driver);
  driver.apply({ kind: ServersChanged, at: driver.at, servers: [] });
  driver.apply({ kind: ServersChanged, at: driver.at, servers: builder.listServers(1) });
  [Dispatch, Fail].forEach((kind) => driver.takeEffects(kind));
  const [sent] = driver.arrive('c').takeEffects(Dispatch);
  driver.loseConnection(sent, verdict.Verdict.MayHaveRun);
  return driver.takeEffects(Fail);
}

// Guards against requests that fail for want of retries, which were counted for others that no server could get.
suite('a retry that no server can get is not used up', () => {
  assert.equal(
    loseAfter((driver) => crash(driver, true)),
    [],
  );
  assert.equal(
    loseAfter((driver) => {
      const kind = ServerCrashed;
      driver.apply({ kind, at: driver.at, serverId: 'runner-0', isListNext: true });
    }),
    [],
  );
});

suite.run();
