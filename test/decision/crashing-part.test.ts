import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as control from '../../src/control';
import * as crashEvidenceExchange from '../../src/gateway/crash-evidence-exchange';
import * as peersModule from '../gateway/peers';
import * as builder from './builder';
import * as engineFleet from './engine-fleet';

const suite = uvu.suite('crashes by a prompt part');

/** Time in which the fleet has to agree on the part after the fifth crash. */
const AGREEMENT_MILLISECONDS = 3_000;

/** Requests with the part that may still reach engines after that. */
const MAXIMUM_LATE_REQUESTS = 3;

const SMALL = { gateways: 6, engines: 8, rate: 60, harmfulShare: 0.05 };

/** Gateways that exchange evidence through a leader. */
function connectedFleet(options: engineFleet.FleetOptions): engineFleet.EngineFleet {
  const peers = new peersModule.Peers();
  const exchanges: crashEvidenceExchange.CrashEvidenceExchange[] = [];
  const fleet = new engineFleet.EngineFleet(options, ({ index }, effect) =>
    exchanges[index].report(effect),
  );
  const { time } = fleet;
  const { CrashEvidenceExchange } = crashEvidenceExchange;
  const leader = peers.plane('leader', control.ReplicaRole.Leader);
  exchanges.push(
    ...fleet.gateways.map((gateway) => {
      const plane = peers.plane(`gateway-${gateway.index}`, control.ReplicaRole.None);
      const kind = decision.DecisionEventKind.CrashEvidenceReported;
      return new CrashEvidenceExchange({ plane, time }, (evidence) =>
        fleet.feed(gateway, { kind, at: time.monotonic(), ...evidence }),
      );
    }),
    new CrashEvidenceExchange({ plane: leader, time }, () => {}),
  );
  return fleet;
}

const LARGE = { gateways: 60, engines: 40, rate: 240, harmfulShare: 0.03 };

// Guards against a fleet that learns of crashing requests one at a time and so loses engine after engine.
[1, 2, 3].forEach((seed) =>
  suite(`6 gateways stop requests with a part that crashed five engines, seed ${seed}`, () => {
    const fleet = connectedFleet({ ...SMALL, seed }).run(30_000);
    assert.ok(fleet.crashes.length >= 3, 'the part crashes engines');
    const late = fleet.lateHarmfulArrivals(AGREEMENT_MILLISECONDS);
    assert.ok(
      late <= MAXIMUM_LATE_REQUESTS,
      `${late} late requests, ${fleet.crashes.length} crashes`,
    );
  }),
);

// Guards against evidence that stays with each gateway: here the first crashes are those of different gateways.
suite('60 gateways stop requests with a part that crashed five engines', () => {
  const fleet = connectedFleet({ ...LARGE, seed: 4 }).run(12_000);
  assert.ok(fleet.crashes.length >= 3, 'the part crashes engines');
  const late = fleet.lateHarmfulArrivals(AGREEMENT_MILLISECONDS);
  assert.ok(
    late <= MAXIMUM_LATE_REQUESTS,
    `${late} late requests, ${fleet.crashes.length} crashes`,
  );
});

// Guards against sound requests that are refused because they were in flight beside the ones that crash engines.
[5, 6].forEach((seed) =>
  suite(`no sound request is refused while a part crashes engines, seed ${seed}`, () => {
    const fleet = connectedFleet({ ...SMALL, seed }).run(30_000);
    assert.ok(fleet.soundRequests > 1_000);
    assert.is(fleet.soundRefusals, 0);
  }),
);

// Guards against a gateway that counts crashes against a part which began safely at other gateways in the meantime.
suite('no sound request is refused while a rare part crashes engines', () => {
  const fleet = connectedFleet({ ...SMALL, harmfulShare: 0.02, seed: 18 }).run(30_000);
  assert.is(fleet.soundRefusals, 0);
});

// Guards against a failure of several engines that is taken for the work of a prompt part.
suite('no request is refused after engines have failed together three times', () => {
  const fleet = connectedFleet({ ...SMALL, harmfulShare: 0, seed: 7 });
  [0, 1, 2].forEach(() => {
    fleet.run(1_000);
    fleet.stopEngines(3);
    fleet.run(4_000);
  });
  fleet.run(10_000);
  assert.is(fleet.soundRefusals, 0);
});

// Guards against streams that are refused because engines crashed under them by the fault of other requests.
suite('a stream that went on at another engine is not refused after the second crash', () => {
  const driver = builder.createDriver(3).arrive('stream', { isStreamed: true, maximumAttempts: 3 });
  [1, 10].forEach((firstPiece) => {
    const [dispatch] = driver.takeEffects(decision.DecisionEffectKind.Dispatch);
    driver.receivePiece(dispatch, firstPiece);
    driver.at += 500;
    driver.receivePiece(dispatch, firstPiece + 8);
    driver.loseConnection(dispatch, verdict.Verdict.MayHaveRun);
    const kind = decision.DecisionEventKind.ServerCrashed;
    driver.apply({ kind, at: driver.at, serverId: dispatch.serverId });
  });
  assert.equal(driver.takeEffects(decision.DecisionEffectKind.Fail), []);
  assert.is(driver.takeEffects(decision.DecisionEffectKind.Dispatch).length, 1);
});

suite.run();
