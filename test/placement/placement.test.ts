import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as placement from '../../src/placement';

const suite = uvu.suite('placement');
const CHAIN = ['preamble', 'rules', 'history'];

const learned = (serverId: string, incarnation: string) =>
  placement.learnDispatch(placement.EMPTY_INDEX, serverId, incarnation, CHAIN, 0);

const found = (index: placement.PrefixIndex, incarnation: string, chain = CHAIN, at = 0) =>
  placement.cachedBlocks(index, 'runner-0', incarnation, chain, at);

suite('an entry of a dead incarnation is not used, else a restarted engine looks warm', () => {
  const index = learned('runner-0', 'first');
  assert.is(found(index, 'first'), 3);
  assert.is(found(index, 'second'), 0);
  assert.is(found(placement.learnDispatch(index, 'runner-0', 'second', ['other'], 0), 'first'), 0);
});

suite('an entry of another chain is not used, else teams or weights would mix', () => {
  assert.is(found(learned('runner-0', 'first'), 'first', ['other team']), 0);
});

suite('entries age, since engines evict within seconds', () => {
  const index = learned('runner-0', 'first');
  assert.is(found(index, 'first', CHAIN, 14_000), 3);
  assert.is(found(index, 'first', CHAIN, 16_000), 0);
});

suite('an answer without the expected cached tokens shortens the believed lifetime', () => {
  const observation = {
    serverId: 'runner-0',
    incarnation: 'first',
    chain: CHAIN,
    cachedPieces: 0,
    lastSeen: [0, 0, 0],
    at: 5_000,
  };
  const index = placement.learnAnswer(learned('runner-0', 'first'), observation);
  assert.ok(index.lifetimeMilliseconds < placement.EMPTY_INDEX.lifetimeMilliseconds);
});

suite('an eviction event of an old incarnation does not remove entries of the new one', () => {
  const index = learned('runner-0', 'second');
  const stale = placement.forgetBlock(index, 'runner-0', 'first', 'history');
  assert.is(found(stale, 'second'), 3);
  assert.is(found(placement.forgetBlock(index, 'runner-0', 'second', 'history'), 'second'), 2);
});

suite('when a server leaves, only the keys move that it was home of', () => {
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

suite('histories of one tenant have homes among few servers, so that its rules stay cached', () => {
  const servers = Array.from({ length: 8 }, (_, index) => `runner-${index}`);
  const homes = Array.from(
    { length: 40 },
    (_, key) => placement.rankNested('rules', 2, `history-${key}`, servers)[0],
  );
  assert.is(new Set(homes).size, 2);
});

suite('a hot prefix gets more servers as its rate rises, and fewer after it falls', () => {
  let heat = placement.EMPTY_PREFIX_DEMAND;
  for (let at = 0; at < 2_000; at += 20) {
    heat = placement.addDemand(heat, [at % 40 === 0 ? 'hot' : `cold-${at}`], 800, at);
  }
  assert.ok(placement.homeCount(heat, 'hot', 8, 2_000) >= 4);
  for (let at = 2_000; at < 30_000; at += 20) {
    heat = placement.addDemand(heat, [`cold-${at}`], 800, at);
  }
  assert.is(placement.homeCount(heat, 'hot', 8, 30_000), 1);
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

suite('a report that is not renewed expires, else its slots stay closed for ever', () => {
  const measurement = { requests: 8, prefillTokens: 0, measuredAt: 0 };
  const load = placement.applyMeasurement(placement.IDLE_LOAD, measurement);
  assert.is(placement.totalLoad(placement.expireMeasurement(load, 1_000)).requests, 8);
  assert.is(placement.totalLoad(placement.expireMeasurement(load, 6_000)).requests, 0);
});

const LIFETIME_MILLISECONDS = 10_000;

/** What other daemons tell, and how much time passes before it. */
const TOLD = fastCheck.array(
  fastCheck.record({
    pause: fastCheck.constantFrom(0, 200, 900, 5_000, 10_000, 10_001),
    server: fastCheck.nat(3),
    hash: fastCheck.nat(3),
    isPruned: fastCheck.boolean(),
  }),
  { maxLength: 60, size: 'max' },
);

// Guards against entries that are believed for too long, or dropped with older ones.
suite('a placing is believed for its lifetime and no longer, whenever the cache is pruned', () =>
  fastCheck.assert(
    fastCheck.property(TOLD, (told) => {
      const lastPlaced = new Map<string, number>();
      let cache = placement.EMPTY_PEER_CACHE;
      let at = 50_000;
      told.forEach(({ pause, server, hash, isPruned }) => {
        at += pause;
        cache = placement.learnPlacements(cache, [{ serverId: `i-${server}`, hashes: [hash] }], at);
        cache = isPruned ? placement.prunePeerCache(cache, at) : cache;
        lastPlaced.set(`i-${server}/${hash}`, at);
        const pieces = placement.placedBlocks(cache, [0, 1, 2, 3], at);
        [0, 1, 2, 3].forEach((place) => {
          const believed = [0, 1, 2, 3].findLastIndex(
            (known) =>
              at - (lastPlaced.get(`i-${place}/${known}`) ?? -Infinity) <= LIFETIME_MILLISECONDS,
          );
          assert.is(pieces.get(`i-${place}`) ?? 0, believed + 1);
        });
      });
    }),
    { seed: 20_261_204, numRuns: 1_000 },
  ),
);

// Guards against a daemon whose memory grows with every prefix that was ever placed.
suite('placings that are too old are dropped', () => {
  const placings = [{ serverId: 'i-1', hashes: [1] }];
  let cache = placement.learnPlacements(placement.EMPTY_PEER_CACHE, placings, 0);
  for (let at = 1_000; at <= 25_000; at += 1_000) {
    cache = placement.prunePeerCache(cache, at);
  }
  assert.ok(placement.isPeerCacheEmpty(cache));
});

suite.run();
