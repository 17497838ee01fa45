import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as orderParameters from '../../platform/order-parameters';
import * as settingsModule from '../../platform/settings';
import * as rollOutSimulation from './roll-out-simulation';

const suite = uvu.suite('time of a roll-out');

const FIRST_SEED = 20_261_204;

/**
 * The platform counts from the acknowledgement, which a leader sends after it has committed the desired version. The
 * margin is for loads that take longer than the longest order time, because more run at once than the weight store can
 * serve at full speed.
 */
const MARGIN_MILLISECONDS = 500;

const VERSION_INTERVAL_MILLISECONDS = 4_400;

interface Site {
  readonly name: string;
  readonly seeds: number;
  readonly engineCount: number;
  readonly versionMilliseconds: number;
  readonly versionAllMilliseconds: number;
  readonly stableMilliseconds: number;
}

const SMALL: Site = {
  name: '8 engines',
  seeds: 25,
  engineCount: 8,
  versionMilliseconds: 8_000,
  versionAllMilliseconds: 11_000,
  stableMilliseconds: 3_000,
};

const GROWN: Site = {
  name: '63 engines',
  seeds: 3,
  engineCount: 63,
  versionMilliseconds: 10_000,
  versionAllMilliseconds: 14_000,
  stableMilliseconds: 4_000,
};

function settingsOf({ versionMilliseconds, versionAllMilliseconds }: Site) {
  return settingsModule
    .decodeSettings(
      JSON.stringify({
        node: 'control-1',
        ip: '10.0.0.1',
        zone: 'pl-caudan',
        region: 'port-louis',
        zones: {},
        listen: {},
        internal_ports: [9_000, 9_001],
        bounds: { version_ms: versionMilliseconds, version_all_ms: versionAllMilliseconds },
        cloud_api: { addr: '10.0.0.2:80' },
      }),
    )
    .unwrap();
}

interface Circumstances {
  readonly leaderChange: rollOutSimulation.LeaderChange;
  readonly losesOrders: boolean;
}

/** Violations, and versions that too many engines lacked at the end of their time, with the seed. */
function failures(site: Site, circumstances: Circumstances, allowed: number): readonly string[] {
  return Array.from({ length: site.seeds }, (_, index) => FIRST_SEED + index).flatMap((seed) => {
    const simulation = new rollOutSimulation.RollOutSimulation({
      seed,
      engineCount: site.engineCount,
      parameters: orderParameters.orderParameters(settingsOf(site).bounds),
      versionIntervalMilliseconds: VERSION_INTERVAL_MILLISECONDS,
      versionCount: 12,
      graceMilliseconds: site.versionMilliseconds * 0.75,
      boundMilliseconds: site.versionAllMilliseconds - MARGIN_MILLISECONDS,
      stableMilliseconds: site.stableMilliseconds,
      ...circumstances,
    });
    simulation.run();
    const tooLate = simulation.late.filter(({ engines }) => engines.length > allowed);
    const described = tooLate.map(
      ({ version, engines }) => `version ${version}: ${engines.join(' ')}`,
    );
    return [...simulation.violations, ...described].map((fault) => `seed ${seed}: ${fault}`);
  });
}

const { None, Disruption, ByItself } = rollOutSimulation.LeaderChange;

[SMALL, GROWN].forEach((site) => {
  /** Number of late engines that the platform allows: one, or a tenth of all. */
  const tenth = Math.max(1, Math.floor(site.engineCount / 10));

  /**
   * Guards against versions that are set faster than engines load them, while orders take as long as they may and one
   * answer in four is lost.
   */
  suite(`${site.name}: each engine has each version in time although answers are lost`, () =>
    assert.equal(failures(site, { leaderChange: None, losesOrders: false }, 0), []),
  );

  /** Guards against more late engines than the platform allows, because orders to them were lost. */
  suite(`${site.name}: few engines are late although orders are lost`, () =>
    assert.equal(failures(site, { leaderChange: None, losesOrders: true }, tenth), []),
  );

  /** Guards against engines that are late because a new leader must not send orders for some time. */
  suite(`${site.name}: each engine has each version in time after a disruption of the core`, () =>
    assert.equal(failures(site, { leaderChange: Disruption, losesOrders: false }, 0), []),
  );

  /** The same for a change of the leader during which the platform keeps counting. */
  suite(`${site.name}: each engine has each version in time after a change of the leader`, () =>
    assert.equal(failures(site, { leaderChange: ByItself, losesOrders: false }, 0), []),
  );

  /** Guards against too many engines that are late because of both lost orders and a change of the leader. */
  suite(`${site.name}: few engines are late after lost orders and a change of the leader`, () =>
    assert.equal(failures(site, { leaderChange: ByItself, losesOrders: true }, tenth), []),
  );
});

suite.run();
