import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as gatewayRegistry from '../../src/gateway/gateway-registry';
import * as peerGatewayDirectory from '../../src/gateway/peer-gateway-directory';
import type * as peerGatewayMessage from '../../src/gateway/peer-gateway-message';
import * as peersModule from './peers';

const suite = uvu.suite('gateways that know each other');

const { Leader, None } = control.ReplicaRole;

/** Gateways of a fleet: three regions with two availability zones each. */
class Fleet {
  readonly peers = new peersModule.Peers();

  readonly time = new clock.ManualClock();

  readonly unavailable = new Set<string>();

  readonly directories = new Map<string, peerGatewayDirectory.PeerGatewayDirectory>();

  readonly registry = new gatewayRegistry.GatewayRegistry({
    plane: this.peers.plane('leader', Leader),
    time: this.time,
  });

  constructor(gatewaysInZone: number) {
    ZONES.forEach((zone) => {
      for (let index = 0; index < gatewaysInZone; index += 1) {
        this.add(`${zone}-${index}`, zone);
      }
    });
    this.directories.forEach((directory) => directory.report());
    this.time.advance(2_100);
  }

  near(daemonId: string): readonly peerGatewayMessage.PeerGateway[] {
    return this.directories.get(daemonId)!.near;
  }

  private add(daemonId: string, zone: string): void {
    const place = { zone, region: zone.slice(0, 2) };
    const directory = new peerGatewayDirectory.PeerGatewayDirectory({
      plane: this.peers.plane(daemonId, None),
      time: this.time,
      report: () => ({
        daemonId,
        address: `10.0.0.1:${1_000 + this.directories.size}`,
        ...place,
        isAvailable: !this.unavailable.has(daemonId),
      }),
    });
    this.directories.set(daemonId, directory);
  }
}

const ZONES = ['r1a', 'r1b', 'r2a', 'r2b', 'r3a', 'r3b'];

// Guards against detours through other regions, whose bytes are dear and late.
suite('the gateways of the same zone come first, then those of the region', () => {
  const near = new Fleet(3).near('r1a-0');
  assert.equal(near.map(({ zone }) => zone).slice(0, 5), ['r1a', 'r1a', 'r1b', 'r1b', 'r1b']);
  assert.not.ok(near.some(({ daemonId }) => daemonId === 'r1a-0'));
});

// Guards against requests that are sent to gateways which are cut off too.
suite('gateways that are not available are left out once they have reported it', () => {
  const fleet = new Fleet(3);
  ['r1a-1', 'r1a-2', 'r1b-0'].forEach((id) => {
    fleet.unavailable.add(id);
    fleet.directories.get(id)!.report();
  });
  fleet.directories.get('r1a-0')!.report();
  assert.equal(
    fleet
      .near('r1a-0')
      .map(({ daemonId }) => daemonId)
      .slice(0, 2)
      .sort(),
    ['r1b-1', 'r1b-2'],
  );
});

// Guards against requests that are tried at neighbours in the same cut for as long as two usual reports take.
suite('a gateway in a cut learns soon that its neighbours are in it too', () => {
  const fleet = new Fleet(3);
  fleet.unavailable.add('r1a-0');
  fleet.directories.get('r1a-0')!.report();
  ['r1a-1', 'r1a-2'].forEach((id) => {
    fleet.unavailable.add(id);
    fleet.directories.get(id)!.report();
  });
  fleet.time.advance(500);
  assert.not.ok(fleet.near('r1a-0').some(({ zone }) => zone === 'r1a'));
});

// Guards against a gateway that was stopped or lost and stays in the lists.
suite('a gateway that does not report any more is left out', () => {
  const fleet = new Fleet(2);
  fleet.directories.get('r1a-1')!.close();
  fleet.time.advance(9_000);
  assert.not.ok(fleet.near('r1a-0').some(({ daemonId }) => daemonId === 'r1a-1'));
});

// Load pattern: all gateways of a zone are cut off at once, and each chooses by the order of its own list.
suite('the gateways of a zone that is cut off do not all choose the same', () => {
  const fleet = new Fleet(20);
  const firstChoices = [...fleet.directories.keys()]
    .filter((id) => id.startsWith('r1a'))
    .map((id) => {
      const other = fleet.near(id).find(({ zone }) => zone !== 'r1a');
      return (other ?? fleet.near(id)[0]).daemonId;
    });
  const counts = firstChoices.map((id) => firstChoices.filter((other) => other === id).length);
  assert.ok(Math.max(...counts) <= 5, `${Math.max(...counts)} of 20 choose one gateway`);
});

// Guards against messages that grow with the number of gateways, and against answers that repeat what is known.
suite('a gateway gets a short answer, and only when it changes', () => {
  const fleet = new Fleet(20);
  const before = fleet.peers.sent.get('leader') ?? 0;
  const { bytes } = fleet.peers;
  fleet.time.advance(4_000);
  const answers = (fleet.peers.sent.get('leader') ?? 0) - before;
  assert.ok(answers <= 120, `${answers} answers`);
  assert.ok((fleet.peers.bytes - bytes) / 240 < 1_000, `${fleet.peers.bytes - bytes} bytes`);
});

// Guards against a gateway that is cut off from the leader too and forgets the others.
suite('the last answer is kept while there is no leader', () => {
  const fleet = new Fleet(2);
  const known = fleet.near('r1a-0');
  fleet.peers.isCut = true;
  fleet.time.advance(20_000);
  assert.is(fleet.near('r1a-0'), known);
  assert.ok(known.length > 0);
});

suite.run();
