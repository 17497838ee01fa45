import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as admission from '../../src/admission';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as builder from './builder';
import * as engineFleet from './engine-fleet';

const suite = uvu.suite('request limit of an engine');

const SPAN_MILLISECONDS = 4_000;
const NAMED_AT = 2_000;
/** Time in which gateways have to keep to a limit after it was first named. */
const AGREEMENT_MILLISECONDS = 3_000;
const END = 30_000;

/** What an engine may get in one span, as the platform allows it. */
function allowance(perSecond: number): number {
  return Math.floor((1.5 * perSecond * SPAN_MILLISECONDS) / 1_000 + 5);
}

// Guards against gateways that each send as much as the engine takes from all of them.
[
  { gateways: 6, engines: 8, rate: 60, perSecond: 1.2, seed: 1 },
  { gateways: 6, engines: 8, rate: 90, perSecond: 1.6, seed: 2 },
  { gateways: 30, engines: 8, rate: 120, perSecond: 1.2, seed: 3 },
].forEach(({ gateways, engines, rate, perSecond, seed }) =>
  suite(
    `${gateways} gateways keep to a limit of ${perSecond} requests a second, seed ${seed}`,
    () => {
      const limit = { perSecond, from: NAMED_AT };
      const options = { gateways, engines, rate, harmfulShare: 0, limit, seed };
      const fleet = new engineFleet.EngineFleet(options).run(END);
      const most = fleet.mostLimitedArrivals(NAMED_AT + AGREEMENT_MILLISECONDS, SPAN_MILLISECONDS);
      assert.ok(most <= allowance(perSecond), `${most} requests in one span`);
    },
  ),
);

// Guards against an engine in need that is given up altogether, so that the others carry its share too.
suite('an engine that names a limit still gets requests in each third of the time', () => {
  const limit = { perSecond: 1.2, from: NAMED_AT };
  const options = { gateways: 6, engines: 8, rate: 60, harmfulShare: 0, limit, seed: 4 };
  const { limitedArrivals } = new engineFleet.EngineFleet(options).run(END);
  [0, 1, 2].forEach((third) => {
    const start = NAMED_AT + AGREEMENT_MILLISECONDS + (third * (END - NAMED_AT)) / 3.5;
    const served = limitedArrivals.filter((at) => at >= start && at < start + 8_000);
    assert.ok(served.length > 0, `no request from ${start} ms`);
  });
});

// Guards against a limit that is lost while its server is missing from the list for a moment.
suite('a server that is away from the list for a moment keeps its limit', () => {
  const driver = builder.createDriver(2);
  const servers = builder.listServers(2);
  const { ServerLimitChanged, ServersChanged } = decision.DecisionEventKind;
  const limit = { serverId: 'runner-0', requestsPerSecond: 0.001 };
  driver.apply({ kind: ServerLimitChanged, at: driver.at, ...limit });
  driver.apply({ kind: ServersChanged, at: driver.at, servers: servers.slice(1) }).wait(2_000);
  driver.apply({ kind: ServersChanged, at: driver.at, servers });
  ['a', 'b', 'c', 'd', 'e', 'f'].forEach((requestId) => driver.arrive(requestId));
  const dispatched = driver.takeEffects(decision.DecisionEffectKind.Dispatch);
  assert.equal([...new Set(dispatched.map(({ serverId }) => serverId))], ['runner-1']);
});

// Guards against unused turns that add up: a fleet that was idle must not send one request from each daemon at once.
[9, 40, 200].forEach((daemons) =>
  suite(
    `${daemons} daemons after an idle time keep to the limit when they all want to send`,
    () => {
      const random = new clock.SeededRandomSource(5);
      const perSecond = 1.6;
      const shares = Array.from({ length: daemons }, () =>
        admission.newRateShare(perSecond, 0, random.uniform(), daemons),
      );
      const sent: number[] = [];
      for (let at = 600_000; at < 660_000; at += 20) {
        shares.forEach((share, index) => {
          if (admission.hasTurn(share, at, daemons)) {
            sent.push(at);
            shares[index] = admission.useTurn(share, at, daemons);
          }
        });
      }
      const counts = sent.map(
        (start) => sent.filter((at) => at >= start && at <= start + SPAN_MILLISECONDS).length,
      );
      assert.ok(Math.max(...counts) <= allowance(perSecond), `${Math.max(...counts)} in one span`);
      assert.ok(sent.length >= 30 * perSecond, `${sent.length} in a minute`);
    },
  ),
);

// Guards against a daemon that takes the whole limit because it does not know how many share it.
suite('a daemon that does not know the number of daemons has no turn', () => {
  const share = admission.newRateShare(5, 0, 0.5, undefined);
  assert.not(admission.hasTurn(share, 60_000, undefined));
  assert.ok(admission.hasTurn(share, 60_000, 1));
});

suite.run();
