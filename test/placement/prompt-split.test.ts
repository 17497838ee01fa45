import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as placement from '../../src/placement';

const suite = uvu.suite('split by prompt size');
const { Short, Long } = placement.PromptSize;
const SERVERS = ['a', 'b', 'c', 'd', 'e', 'f'];

function mixes(short: number, long: number, at = 0): placement.PromptMixes {
  const known = placement.addWork(placement.EMPTY_MIXES, 'desk', Short, short, at);
  return placement.addWork(known, 'desk', Long, long, at);
}

function kept(known: placement.PromptMixes, servers: readonly string[] = SERVERS): number {
  return placement.serversForShort(known, 'desk', servers).size;
}

suite('servers are kept for short prompts in proportion to their work', () => {
  assert.is(kept(mixes(100, 400)), 2);
  assert.is(kept(mixes(10, 990)), 1);
  assert.is(kept(mixes(990, 10)), 3, 'at most half of them');
});

// Guards against a server without work, and against one size without a server.
suite('requests of one size, and few servers, are not split', () => {
  assert.is(kept(mixes(100, 0)), 0);
  assert.is(kept(mixes(0, 100)), 0);
  assert.is(kept(mixes(100, 400), ['a', 'b']), 0);
});

suite('the mix follows the recent work', () => {
  const later = placement.addWork(mixes(100, 900), 'desk', Short, 400, 100_000);
  assert.is(kept(later), 3);
});

// Guards against homes of prefixes that move because another server has come.
suite('the servers kept for short prompts stay when another one leaves', () => {
  const [first] = placement.serversForShort(mixes(10, 990), 'desk', SERVERS);
  const rest = SERVERS.filter((serverId) => serverId === first || serverId < 'd');
  assert.equal([...placement.serversForShort(mixes(10, 990), 'desk', rest)], [first]);
});

suite.run();
