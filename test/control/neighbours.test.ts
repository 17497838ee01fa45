import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as knownDaemons from '../../src/control/known-daemons';
import * as neighbours from '../../src/control/neighbours';

const suite = uvu.suite('daemons to ask without control daemons');

function fleet(zones: number, perZone: number): neighbours.Neighbour[] {
  return Array.from({ length: zones * perZone }, (_, index) => ({
    address: `10.${index % zones}.0.${Math.floor(index / zones)}:7240`,
    zone: `zone-${index % zones}`,
  }));
}

/** Guards against a zone that is cut off as a whole and whose daemons know only each other. */
suite('the named daemons lie in other availability zones, each in another one', () => {
  const daemons = fleet(12, 30);
  const selection = new neighbours.Neighbours(daemons);
  const zoneOf = new Map(daemons.map(({ address, zone }) => [address, zone]));
  daemons.forEach((daemon) => {
    const zones = selection.of(daemon).map((address) => zoneOf.get(address));
    assert.is(new Set(zones).size, 3);
    assert.not.ok(zones.includes(daemon.zone));
  });
});

/** Guards against a few daemons that the whole fleet dials at once when it has lost its control daemons. */
suite('no daemon is named to many others, in large and in small fleets', () => {
  [fleet(12, 30), fleet(3, 2), fleet(1, 8)].forEach((daemons) => {
    const selection = new neighbours.Neighbours(daemons);
    const named = daemons.flatMap((daemon) => selection.of(daemon));
    const counts = daemons.map(
      ({ address }) => named.filter((candidate) => candidate === address).length,
    );
    assert.ok(Math.max(...counts) <= 6, String(counts));
    assert.ok(Math.min(...counts) >= 1, String(counts));
  });
});

/** Guards against daemons that are named to themselves, and against names of nobody in the smallest fleets. */
suite('with one availability zone its daemons name each other', () => {
  const [first, second, third] = fleet(1, 3);
  const selection = new neighbours.Neighbours([first, second, third]);
  assert.equal([...selection.of(first)].sort(), [second.address, third.address]);
  assert.equal(new neighbours.Neighbours([first]).of(first), []);
  const stranger = { address: '10.9.9.9:1', zone: 'zone-9' };
  assert.is(selection.of(stranger).length, 3);
});

/** Guards against memory that grows with every daemon that was ever named. */
suite('the latest addresses are kept, and only a limited number', () => {
  const known = new knownDaemons.KnownDaemons();
  const addresses = Array.from({ length: 40 }, (_, index) => `10.0.0.${index}:1`);
  known.record(addresses);
  known.record([addresses[30]]);
  assert.equal(known.all, [...addresses.slice(24, 30), ...addresses.slice(31), addresses[30]]);
});

suite.run();
