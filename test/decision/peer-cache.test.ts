import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('prefixes that other daemons have placed');
const { Dispatch } = decision.DecisionEffectKind;
const { PrefixesPlaced } = decision.DecisionEventKind;

const PROMPT = {
  prefixChain: ['rules', 'rules/history', 'rules/history/question'],
  chainTokens: [2_600, 6_300, 9_200],
  promptTokens: 9_200,
};

function place(
  desk: builder.DecisionDriver,
  serverId: string,
  weightsVersion = '',
): builder.DecisionDriver {
  const hashes = decision.sharedHashes(weightsVersion, PROMPT.prefixChain);
  return desk.apply({ kind: PrefixesPlaced, at: desk.at, placements: [{ serverId, hashes }] });
}

function dispatchOf(desk: builder.DecisionDriver): decision.Dispatch {
  return desk.arrive('a', PROMPT).takeEffects(Dispatch)[0];
}

// Guards against prompts that are read again beside a server that has most of them.
suite('a request goes where a peer has sent its prefix, or has it copied from there', () => {
  const servers = ['runner-0', 'runner-1', 'runner-2'];
  servers.forEach((serverId) => {
    const sent = dispatchOf(place(builder.createDriver(3, 96), serverId));
    const isThere = sent.serverId === serverId;
    assert.is(sent.expectedCachedTokens, isThere ? 6_300 : 0);
    assert.is(sent.cacheSource, isThere ? undefined : serverId);
  });
});

suite('a request that goes elsewhere has the prefix copied from there', () => {
  const desk = place(builder.createDriver(2, 1), 'runner-0');
  desk.arrive('busy', { ...PROMPT, prefixChain: [], chainTokens: undefined }).takeEffects(Dispatch);
  const sent = dispatchOf(desk);
  assert.is(sent.cacheSource, sent.serverId === 'runner-0' ? undefined : 'runner-0');
});

// Guards against sources whose cache was dropped with the weights.
suite('prefixes of other weights, and old ones, count for nothing', () => {
  assert.is(
    dispatchOf(place(builder.createDriver(3, 96), 'runner-1', '2')).expectedCachedTokens,
    0,
  );
  const old = place(builder.createDriver(3, 96), 'runner-1').wait(11_000);
  assert.is(dispatchOf(old).expectedCachedTokens, 0);
});

suite.run();
