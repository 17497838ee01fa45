import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';
import * as refusalFleet from './refusal-fleet';

const suite = uvu.suite('servers that fall over when they refuse too much');

const { BackendRefused } = verdict.FailureReason;
const { NotRun } = verdict.Verdict;

const SECONDS = 8;

/** Falls that the platform allows in one such time. */
function allowedFalls(servers: number): number {
  return 2 + servers / 10;
}

const CASES = [
  { gateways: 6, servers: 3, slots: 6, rate: 260, workMilliseconds: 85, refusalsPerSecond: 6 },
  { gateways: 8, servers: 3, slots: 6, rate: 300, workMilliseconds: 85, refusalsPerSecond: 4 },
  { gateways: 20, servers: 10, slots: 6, rate: 900, workMilliseconds: 85, refusalsPerSecond: 5 },
  { gateways: 40, servers: 6, slots: 6, rate: 600, workMilliseconds: 85, refusalsPerSecond: 6 },
  { gateways: 6, servers: 8, slots: 24, rate: 500, workMilliseconds: 600, refusalsPerSecond: 8 },
];

// Guards against servers in need that fall over because every gateway tries them again and again.
CASES.forEach((sizes) =>
  [1, 2].forEach((seed) =>
    suite(`${sizes.gateways} gateways before ${sizes.servers} full servers, seed ${seed}`, () => {
      const fleet = new refusalFleet.RefusalFleet({ ...sizes, seed, isNamed: true });
      const { falls, served } = fleet.run(SECONDS * 1_000);
      assert.ok(falls <= allowedFalls(sizes.servers), `${falls} falls`);
      const capacity = (sizes.servers * sizes.slots * SECONDS * 1_000) / sizes.workMilliseconds;
      assert.ok(served >= capacity / 2, `${served} of ${Math.round(capacity)} served`);
    }),
  ),
);

// Guards against a simulation in which the servers would stand in any case.
suite('servers whose limit nobody knows fall over all the time', () => {
  const [sizes] = CASES;
  const { falls } = new refusalFleet.RefusalFleet({ ...sizes, seed: 1, isNamed: false }).run(8_000);
  assert.ok(falls > 2 * allowedFalls(sizes.servers), `${falls} falls`);
});

// Guards against a gateway that has no slot anywhere because the gateways outnumber the slots.
suite('every gateway has a slot at some server', () => {
  Array.from({ length: 40 }, (_, seed) => {
    const driver = builder.createDriver(3, 6);
    driver.state = { ...driver.state, options: { ...driver.state.options, seed }, daemons: 40 };
    const [service] = driver.state.services.keys();
    const kind = decision.DecisionEventKind.RefusalLimitChanged;
    driver.apply({ kind, at: 0, service, refusalsPerSecond: 6 }).arrive(`request-${seed}`);
    return driver.takeEffects(decision.DecisionEffectKind.Dispatch);
  }).forEach((dispatches) => assert.is(dispatches.length, 1));
});

// Guards against servers that fall over when gateways start: one that does not know the number of gateways took itself for the only
// one and used all slots and all refusals.
suite(
  'a gateway that does not know how many there are uses one slot and seldom tries again',
  () => {
    const driver = builder.createDriver(3, 6);
    driver.state = { ...driver.state, daemons: undefined };
    const [service] = driver.state.services.keys();
    const { RefusalLimitChanged, AttemptFailed, DaemonsCounted } = decision.DecisionEventKind;
    const { Dispatch } = decision.DecisionEffectKind;
    driver.apply({ kind: RefusalLimitChanged, at: 0, service, refusalsPerSecond: 6 });
    Array.from({ length: 18 }, (_, index) => driver.arrive(`request-${index}`));
    const [{ requestId, attemptId }, ...others] = driver.takeEffects(Dispatch);
    assert.is(others.length, 0);
    const failure = verdict.failure(BackendRefused, NotRun, 'The server is full.');
    driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure }).wait(1_000);
    assert.is(driver.takeEffects(Dispatch).length, 0);
    driver.apply({ kind: DaemonsCounted, at: driver.at, daemons: 1 }).wait(100);
    assert.ok(driver.takeEffects(Dispatch).length > 1);
  },
);

// Guards against restrictions that stay when the servers are sound again.
suite('a limit that is named no more restricts nothing', () => {
  const driver = builder.createDriver(1, 6);
  driver.state = { ...driver.state, daemons: 6 };
  const [service] = driver.state.services.keys();
  const kind = decision.DecisionEventKind.RefusalLimitChanged;
  driver.apply({ kind, at: 0, service, refusalsPerSecond: 6 });
  ['a', 'b', 'c'].forEach((id) => driver.arrive(id));
  assert.is(driver.takeEffects(decision.DecisionEffectKind.Dispatch).length, 1);
  driver.apply({ kind, at: 0, service });
  assert.is(driver.takeEffects(decision.DecisionEffectKind.Dispatch).length, 2);
});

suite.run();
