import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as placement from '../../src/placement';

const suite = uvu.suite('placement');
const CHAIN = ['preamble', 'rules', 'history'];

const indexWith = (serverId: string, incarnation: string) =>
  placement.learnDispatch(placement.EMPTY_INDEX, serverId, incarnation, CHAIN, 0);

const cachedDepth = (index: placement.PrefixIndex, incarnation: string, chain = CHAIN, at = 0) =>
  placement.cachedBlocks(index, 'runner-0', incarnation, chain, at);

suite(
  'an entry of a dead incarnation is not used, else a restarted engine seems to have a cache',
  () => {
    const index = indexWith('runner-0', 'first');
    assert.is(cachedDepth(index, 'first'), 3);
    assert.is(cachedDepth(index, 'second'), 0);
    assert.is(
      cachedDepth(placement.learnDispatch(index, 'runner-0', 'second', ['other'], 0), 'first'),
      0,
    );
  },
);

suite('an entry of another chain is not used, else teams or weights would mix', () => {
  assert.is(cachedDepth(indexWith('runner-0', 'first'), 'first', ['other team']), 0);
});

suite('entries expire, since engines evict within seconds', () => {
  const index = indexWith('runner-0', 'first');
  assert.is(cachedDepth(index, 'first', CHAIN, 14_000), 3);
  assert.is(cachedDepth(index, 'first', CHAIN, 16_000), 0);
});

suite('an answer without the expected cached tokens shortens the estimated lifetime', () => {
  const observation = {
    serverId: 'runner-0',
    incarnation: 'first',
    chain: CHAIN,
    cachedBlocks: 0,
    lastCachedTimes: [0, 0, 0],
    at: 5_000,
  };
  const index = placement.learnAnswer(indexWith('runner-0', 'first'), observation);
  assert.ok(index.lifetimeMilliseconds < placement.EMPTY_INDEX.lifetimeMilliseconds);
});

suite('an eviction event of an old incarnation does not remove entries of the new one', () => {
  const index = indexWith('runner-0', 'second');
  const stale = placement.forgetBlock(index, 'runner-0', 'first', 'history');
  assert.is(cachedDepth(stale, 'second'), 3);
  assert.is(
    cachedDepth(placement.forgetBlock(index, 'runner-0', 'second', 'history'), 'second'),
    2,
  );
});

suite('when a server leaves, only the keys that had it as their home move', () => {
  const servers = ['a', 'b', 'c', 'd', 'e'];
  for (let key = 0; key < 50; key += 1) {
    const [home] = placement.rankServers(`key-${key}`, servers);
    const [after] = placement.rankServers(
      `key-${key}`,
      servers.filter((server) => server !== 'c'),
    );
    assert.ok(home === 'c' || home === after);
  }
});

suite(
  'histories of one tenant have their homes at few servers, so that the tenant’s rules stay cached',
  () => {
    const servers = Array.from({ length: 8 }, (_, index) => `runner-${index}`);
    const homes = Array.from(
      { length: 40 },
      (_, key) => placement.rankNested('rules', 2, `history-${key}`, servers)[0],
    );
    assert.is(new Set(homes).size, 2);
  },
);

suite('a prefix gets more home servers as its demand rises, and fewer after it falls', () => {
  let demand = placement.EMPTY_PREFIX_DEMAND;
  for (let at = 0; at < 2_000; at += 20) {
    demand = placement.addDemand(demand, [at % 40 === 0 ? 'hot' : `cold-${at}`], 800, at);
  }
  assert.ok(placement.homeCount(demand, 'hot', 8, 2_000) >= 4);
  for (let at = 2_000; at < 30_000; at += 20) {
    demand = placement.addDemand(demand, [`cold-${at}`], 800, at);
  }
  assert.is(placement.homeCount(demand, 'hot', 8, 30_000), 1);
});

suite('a late report neither hides a new dispatch nor counts an ended one', () => {
  const one = { requests: 1, prefillTokens: 1_000 };
  const sent = placement.changeOwnLoad(placement.IDLE_LOAD, one, false, 1_000);
  const before = placement.applyMeasurement(placement.changeOwnLoad(sent, one, false, 1_500), {
    requests: 3,
    prefillTokens: 0,
    measuredAt: 1_200,
  });
  assert.is(placement.totalLoad(before).requests, 4);
  const ended = placement.changeOwnLoad(before, { requests: -2, prefillTokens: 0 }, false, 1_600);
  assert.is(placement.totalLoad(ended).requests, 2);
});

// Guards against a history of own load that grows without end, or that lacks the load at the time of a late report.
suite('the history of own load covers late reports and no more', () => {
  const changes = fastCheck.array(fastCheck.integer({ min: 0, max: 1_500 }), { minLength: 1 });
  fastCheck.assert(
    fastCheck.property(changes, (pauses) => {
      let at = 0;
      let load = placement.IDLE_LOAD;
      const times = pauses.map((pause) => {
        at += pause;
        load = placement.changeOwnLoad(load, { requests: 1, prefillTokens: 0 }, false, at);
        return at;
      });
      const firstKept = times.findIndex((time) => time >= at - 4_000);
      // The last sample before the others holds at the beginning of their time, if it is there when they come.
      assert.ok(load.samples.size <= times.length - firstKept + 1);
      for (let age = 0; age <= 2_000; age += 100) {
        const measuredAt = at - age;
        const own = Math.max(1, times.filter((time) => time <= measuredAt).length);
        const measurement = { requests: own + 7, prefillTokens: 0, measuredAt };
        assert.is(placement.applyMeasurement(load, measurement).others.requests, 7);
      }
    }),
  );
});

suite('a load report without a successor expires, else its slots stay occupied for ever', () => {
  const measurement = { requests: 8, prefillTokens: 0, measuredAt: 0 };
  const load = placement.applyMeasurement(placement.IDLE_LOAD, measurement);
  assert.is(placement.totalLoad(placement.expireMeasurement(load, 1_000)).requests, 8);
  assert.is(placement.totalLoad(placement.expireMeasurement(load, 6_000)).requests, 0);
});

const LIFETIME_MILLISECONDS = 10_000;

/** Placements that other daemons report, and the milliseconds before each report. */
const PLACEMENT_HISTORIES = fastCheck.array(
  fastCheck.record({
    pause: fastCheck.constantFrom(0, 200, 900, 5_000, 10_000, 10_001),
    server: fastCheck.nat(3),
    hash: fastCheck.nat(3),
    isPruned: fastCheck.boolean(),
  }),
  { maxLength: 60, size: 'max' },
);

// Guards against entries that are used for too long, or dropped together with older ones.
suite('a placement is used for its lifetime and no longer, whenever the cache is pruned', () =>
  fastCheck.assert(
    fastCheck.property(PLACEMENT_HISTORIES, (history) => {
      const lastPlaced = new Map<string, number>();
      let cache = placement.EMPTY_PEER_CACHE;
      let at = 50_000;
      history.forEach(({ pause, server, hash, isPruned }) => {
        at += pause;
        cache = placement.learnPlacements(cache, [{ serverId: `i-${server}`, hashes: [hash] }], at);
        cache = isPruned ? placement.prunePeerCache(cache, at) : cache;
        lastPlaced.set(`i-${server}/${hash}`, at);
        const blocks = placement.placedBlocks(cache, [0, 1, 2, 3], at);
        [0, 1, 2, 3].forEach((otherServer) => {
          const deepest = [0, 1, 2, 3].findLastIndex(
            (depth) =>
              at - (lastPlaced.get(`i-${otherServer}/${depth}`) ?? -Infinity) <=
              LIFETIME_MILLISECONDS,
          );
          assert.is(blocks.get(`i-${otherServer}`) ?? 0, deepest + 1);
        });
      });
    }),
    { seed: 20_261_204, numRuns: 1_000 },
  ),
);

// Guards against a daemon whose memory grows with every prefix that peers have ever reported.
suite('expired placements are dropped', () => {
  const placements = [{ serverId: 'i-1', hashes: [1] }];
  let cache = placement.learnPlacements(placement.EMPTY_PEER_CACHE, placements, 0);
  for (let at = 1_000; at <= 25_000; at += 1_000) {
    cache = placement.prunePeerCache(cache, at);
  }
  assert.ok(placement.isPeerCacheEmpty(cache));
});

suite.run();
