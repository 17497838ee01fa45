import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('memory of engines');
const { Dispatch } = decision.DecisionEffectKind;

/** A driver whose engines hold two of its requests, because the limit is 1.3 times the memory. */
function createSmallDriver(): builder.DecisionDriver {
  const driver = builder.createDriver(2, 96);
  const service = configuration.modelServiceSchema.parse({
    ...driver.state.services.first(),
    cacheTokensPerRunner: 10_000,
  });
  return driver.apply({
    kind: decision.DecisionEventKind.ConfigurationChanged,
    at: 0,
    snapshot: {
      revision: 2,
      documents: new Map([[configuration.documentKey(service), service]]),
    },
  });
}

const LARGE = { prefixChain: [], promptTokens: 6_000, expectedOutputTokens: 100 };

// Guards against requests that wait inside a full engine, from which the daemon cannot move them.
suite('a request waits in the daemon while no engine has memory for it', () => {
  const driver = createSmallDriver();
  ['a', 'b', 'c', 'd'].forEach((id) => driver.arrive(id, LARGE));
  const sent = driver.takeEffects(Dispatch);
  assert.is(sent.length, 4);
  assert.is(new Set(sent.map(({ serverId }) => serverId)).size, 2);
  driver.arrive('e', LARGE);
  assert.is(driver.takeEffects(Dispatch).length, 0);
  assert.is(driver.finish(sent[2]).takeEffects(Dispatch)[0].serverId, sent[2].serverId);
});

suite('the memory that requests of other daemons use counts too', () => {
  const driver = createSmallDriver();
  driver.apply({
    kind: decision.DecisionEventKind.LoadReported,
    at: 0,
    serverId: 'runner-0',
    incarnation: 'first',
    weightsVersion: '',
    ageMilliseconds: 0,
    runningRequests: 2,
    queuedRequests: 0,
    queuedPrefillTokens: 12_000,
    memoryTokens: 12_500,
  });
  driver.arrive('a', LARGE).arrive('b', LARGE);
  const sent = driver.takeEffects(Dispatch);
  assert.equal(
    sent.map(({ serverId }) => serverId),
    ['runner-1', 'runner-1'],
  );
});

suite('a request that is larger than the memory is dispatched to an idle engine', () => {
  const driver = createSmallDriver().arrive('huge', { ...LARGE, promptTokens: 50_000 });
  assert.is(driver.takeEffects(Dispatch).length, 1);
});

suite.run();
