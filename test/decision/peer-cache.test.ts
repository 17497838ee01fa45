import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('prefixes that other daemons have placed');
const { Dispatch } = decision.DecisionEffectKind;
const { PrefixesPlaced, ServersChanged } = decision.DecisionEventKind;

const PROMPT = {
  prefixChain: ['rules', 'rules/history', 'rules/history/question'],
  chainTokens: [2_600, 6_300, 9_200],
  promptTokens: 9_200,
};

/** A driver whose servers have weights of version 1. */
function createDriver(servers: number, slots: number): builder.DecisionDriver {
  const driver = builder.createDriver(servers, slots);
  const listed = builder.listServers(servers).map((server) => ({ ...server, weightsVersion: '1' }));
  return driver.apply({ kind: ServersChanged, at: driver.at, servers: listed });
}

function reportPlacement(
  driver: builder.DecisionDriver,
  serverId: string,
  weightsVersion = '1',
): builder.DecisionDriver {
  const hashes = decision.sharedPrefixHashes(weightsVersion, PROMPT.prefixChain);
  return driver.apply({ kind: PrefixesPlaced, at: driver.at, placements: [{ serverId, hashes }] });
}

function dispatchOf(driver: builder.DecisionDriver): decision.Dispatch {
  return driver.arrive('a', PROMPT).takeEffects(Dispatch)[0];
}

// Guards against a prefill of a prompt of which another server has most blocks cached.
suite(
  'a request goes to the server to which a peer has sent its prefix, or copies the prefix from there',
  () => {
    const servers = ['runner-0', 'runner-1', 'runner-2'];
    servers.forEach((serverId) => {
      const sent = dispatchOf(reportPlacement(createDriver(3, 96), serverId));
      const isSameServer = sent.serverId === serverId;
      assert.is(sent.expectedCachedTokens, isSameServer ? 6_300 : 0);
      assert.is(sent.cacheSource, isSameServer ? undefined : serverId);
    });
  },
);

suite('a request that goes to another server copies the prefix from the server that has it', () => {
  const driver = reportPlacement(createDriver(2, 1), 'runner-0');
  driver
    .arrive('busy', { ...PROMPT, prefixChain: [], chainTokens: undefined })
    .takeEffects(Dispatch);
  const sent = dispatchOf(driver);
  assert.is(sent.cacheSource, sent.serverId === 'runner-0' ? undefined : 'runner-0');
});

// Guards against copies from a server that dropped its cache when it loaded other weights.
suite('prefixes of other weights and expired ones are ignored', () => {
  assert.is(
    dispatchOf(reportPlacement(createDriver(3, 96), 'runner-1', '2')).expectedCachedTokens,
    0,
  );
  const old = reportPlacement(createDriver(3, 96), 'runner-1').wait(11_000);
  assert.is(dispatchOf(old).expectedCachedTokens, 0);
});

// Guards against two servers whose weights are unknown, and which are taken to have the same ones.
suite('prefixes are neither expected at nor copied from servers of unknown weights', () => {
  ['runner-0', 'runner-1'].forEach((serverId) => {
    const driver = reportPlacement(builder.createDriver(2, 96), serverId, '');
    const { expectedCachedTokens, cacheSource } = dispatchOf(driver);
    assert.is(expectedCachedTokens, 0);
    assert.is(cacheSource, undefined);
  });
});

suite.run();
