import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('requests of a server that is found dead');

const { ServerCrashed, ServersChanged } = decision.DecisionEventKind;
const { Dispatch } = decision.DecisionEffectKind;

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

suite.run();
