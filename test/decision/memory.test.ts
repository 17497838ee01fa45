import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('memory of engines');
const { Dispatch } = decision.DecisionEffectKind;

/** A desk whose engines have memory for two of its requests, a third above the limit included. */
function smallDesk(): builder.DecisionDriver {
  const desk = builder.createDriver(2, 96);
  const service = configuration.modelServiceSchema.parse({
    ...desk.state.services.first(),
    cacheTokensPerRunner: 10_000,
  });
  return desk.apply({
    kind: decision.DecisionEventKind.ConfigurationChanged,
    at: 0,
    snapshot: {
      revision: 2,
      documents: new Map([[configuration.documentKey(service), service]]),
    },
  });
}

const LARGE = { prefixChain: [], promptTokens: 6_000, expectedOutputTokens: 100 };

// Guards against requests that wait inside a full engine, where nothing can be done for them.
suite('a request waits in the daemon while no engine has memory for it', () => {
  const desk = smallDesk();
  ['a', 'b', 'c', 'd'].forEach((id) => desk.arrive(id, LARGE));
  const sent = desk.takeEffects(Dispatch);
  assert.is(sent.length, 4);
  assert.is(new Set(sent.map(({ serverId }) => serverId)).size, 2);
  desk.arrive('e', LARGE);
  assert.is(desk.takeEffects(Dispatch).length, 0);
  assert.is(desk.finish(sent[2]).takeEffects(Dispatch)[0].serverId, sent[2].serverId);
});

suite('the work of other daemons counts too', () => {
  const desk = smallDesk();
  desk.apply({
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
  desk.arrive('a', LARGE).arrive('b', LARGE);
  const sent = desk.takeEffects(Dispatch);
  assert.equal(
    sent.map(({ serverId }) => serverId),
    ['runner-1', 'runner-1'],
  );
});

suite('a request that is larger than the memory runs at an idle engine', () => {
  const desk = smallDesk().arrive('huge', { ...LARGE, promptTokens: 50_000 });
  assert.is(desk.takeEffects(Dispatch).length, 1);
});

suite.run();
