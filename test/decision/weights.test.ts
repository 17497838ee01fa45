import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('weights of engines');
const { Dispatch } = decision.DecisionEffectKind;
const { ConfigurationChanged, ServersChanged } = decision.DecisionEventKind;

/** A desk whose engines tell these weights, where older ones than version 2 must get no work. */
function deskWith(...versions: readonly (string | undefined)[]): builder.Desk {
  const desk = builder.desk(versions.length);
  const service = configuration.modelServiceSchema.parse({
    ...desk.state.services.first(),
    weightsVersion: '2',
    minimumWeightsVersion: '2',
  });
  const documents = new Map([[configuration.documentKey(service), service]]);
  const servers = builder
    .list(versions.length)
    .map((server, index) => ({ ...server, weightsVersion: versions[index] }));
  return desk
    .apply({ kind: ConfigurationChanged, at: 0, snapshot: { revision: 2, documents } })
    .apply({ kind: ServersChanged, at: 0, servers });
}

suite('a request goes to an engine whose weights are new enough', () => {
  const sent = deskWith('1', '2').arrive('a').take(Dispatch);
  assert.equal(
    sent.map(({ serverId }) => serverId),
    ['runner-1'],
  );
});

// Guards against an engine that came back with old weights and is listed without a version.
suite('an engine whose weights are not known gets no work while old ones must not', () => {
  assert.is(deskWith(undefined).arrive('a').take(Dispatch).length, 0);
});

suite.run();
