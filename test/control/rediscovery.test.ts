import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as knownDaemons from '../../src/control/known-daemons';
import * as rediscovery from '../../src/control/rediscovery';

const suite = uvu.suite('search for control daemons');

/** A search over a network in which nothing answers, unless the test says so. */
class Search {
  readonly time = new clock.ManualClock();

  readonly known = new knownDaemons.KnownDaemons();

  readonly dialed = new Set<string>();

  readonly unreachable = new Set<string>();

  /** Most addresses that were dialed at the same time. */
  mostDialed = 0;

  copyAge = 0;

  seeds: readonly string[] | undefined = [];

  seedReads = 0;

  readonly rediscovery = new rediscovery.Rediscovery({
    time: this.time,
    known: this.known,
    network: {
      connect: (addresses) => addresses.forEach((address) => this.dial(address)),
      visit: (address) => this.dial(address),
      disconnect: (addresses) => addresses.forEach((address) => this.dialed.delete(address)),
      isConfigured: (address) => this.dialed.has(address),
      isLinked: () => false,
      unreachableAddresses: () => [...this.unreachable],
    },
    copyAge: () => this.copyAge,
    hasReplica: () => true,
    required: () => ['voter:1'],
    readSeeds: async () => {
      this.seedReads += 1;
      if (this.seeds === undefined) {
        throw new Error('file is gone');
      }
      return this.seeds;
    },
    fields: () => ({}),
  });

  constructor(known: number) {
    this.known.record(Array.from({ length: known }, (_, index) => `known-${index}:1`));
    this.rediscovery.start();
  }

  async advance(seconds: number, each: () => void = () => {}): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      this.time.advance(1_000);
      await new Promise(setImmediate);
      each();
    }
  }

  private dial(address: string): void {
    this.dialed.add(address);
    this.mostDialed = Math.max(this.mostDialed, this.dialed.size);
  }
}

/** Guards against a fleet without any leader in which each daemon links to all others. */
suite('every known daemon is asked in turn, and only a few at a time', async () => {
  const search = new Search(16);
  search.copyAge = Infinity;
  const asked = new Set<string>();
  await search.advance(60, () => search.dialed.forEach((address) => asked.add(address)));
  assert.is(asked.size, 16);
  assert.is(search.mostDialed, 3);
});

/** Guards against links between all daemons that stay after the control daemons were found. */
suite('links end once the copy is confirmed, but not those to control daemons', async () => {
  const search = new Search(3);
  search.known.record(['voter:1']);
  search.copyAge = 4_000;
  await search.advance(3);
  assert.ok(search.dialed.size > 0);
  search.copyAge = 500;
  await search.advance(3);
  search.dialed.add('voter:1');
  search.copyAge = 4_000;
  await search.advance(2);
  search.copyAge = 500;
  await search.advance(4);
  assert.ok(search.dialed.has('voter:1'));
  assert.ok(search.dialed.size <= 2, [...search.dialed].join(' '));
});

/** Guards against a daemon that is left alone because it knows nobody who could tell it. */
suite(
  'without a search one other daemon is visited at a time, each of them again and again',
  async () => {
    const search = new Search(3);
    const visits: string[] = [];
    let before = new Set<string>();
    await search.advance(60, () => {
      search.dialed.forEach((address) => {
        if (!before.has(address)) {
          visits.push(address);
        }
      });
      before = new Set(search.dialed);
    });
    assert.is(search.mostDialed, 1);
    assert.is(new Set(visits).size, 3);
    assert.ok(visits.length >= 10 && visits.length <= 13, String(visits.length));
    assert.is(search.seedReads, 0);
  },
);

/** Guards against settings that were corrected and are not read, and against a search that ends with an unreadable file. */
suite('the seeds are read again during a search, also after a failure', async () => {
  const search = new Search(0);
  search.copyAge = Infinity;
  search.seeds = undefined;
  await search.advance(3);
  search.seeds = ['new-seed:1'];
  await search.advance(2);
  assert.ok(search.dialed.has('new-seed:1'));
  assert.ok(search.seedReads >= 4);
});

/** Guards against addresses of replaced control daemons that are dialed for ever, and against forgetting them in a cut. */
suite('unreachable addresses are forgotten only while the control daemons are known', async () => {
  const search = new Search(0);
  ['gone:1', 'voter:1'].forEach((address) => {
    search.dialed.add(address);
    search.unreachable.add(address);
  });
  search.copyAge = 10_000;
  await search.advance(5);
  assert.is(search.dialed.size, 2);
  search.copyAge = 0;
  await search.advance(2);
  assert.equal([...search.dialed], ['voter:1']);
});

suite.run();
