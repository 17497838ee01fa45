import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as prefix from '../../src/prefix';

const suite = uvu.suite('prefix');
const IDENTITY = { team: 'depot', model: 'sack', weightsVersion: 'v1' };

const text = (content: string) => [{ role: 'user', content }];
const bytes = (body: unknown) => prefix.canonicalPrompt(body).unwrap();

suite(
  'a longer prompt keeps the chain of its prefix, else every turn of a conversation misses the cache',
  async () => {
    const hasher = await prefix.createChainHasher();
    fastCheck.assert(
      fastCheck.property(
        fastCheck.uint8Array({ maxLength: 13_000, size: 'max' }),
        fastCheck.uint8Array({ maxLength: 9_000, size: 'max' }),
        (start, growth) => {
          const chain = hasher.chain(IDENTITY, start);
          const grown = hasher.chain(IDENTITY, new Uint8Array([...start, ...growth]));
          assert.equal(grown.slice(0, chain.length), chain);
        },
      ),
      { seed: 11, numRuns: 30 },
    );
  },
);

suite(
  'team, model and weights version separate chains, else a team could use the cache of another',
  async () => {
    const hasher = await prefix.createChainHasher();
    const prompt = new Uint8Array(4_000);
    const others = [{ team: 'sack' }, { model: 'depot' }, { weightsVersion: 'v2' }, {}].map(
      (change) => hasher.chain({ ...IDENTITY, ...change }, prompt)[0],
    );
    assert.is(new Set(others).size, 4);
  },
);

suite('a conversation that grows by a turn keeps its bytes as a prefix', () => {
  const first = bytes({ model: 'a', temperature: 1, messages: text('Assess sack 7.') });
  const second = bytes({
    messages: [...text('Assess sack 7.'), { content: 'Fine.', role: 'assistant' }],
    model: 'a',
  });
  assert.equal([...second.subarray(0, first.length)], [...first]);
});

suite('a body without a prompt is refused as not run', () => {
  assert.ok(
    [null, {}, [], { messages: 'x' }, 'x'].every((body) => prefix.canonicalPrompt(body).err),
  );
});

suite.run();
