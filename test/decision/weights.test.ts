import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('weights of engines');
const { CancelAttempt, Dispatch, Fail } = decision.DecisionEffectKind;
const { ConfigurationChanged, ServersChanged } = decision.DecisionEventKind;

type Weights = Pick<
  configuration.ModelServiceDocument,
  'minimumWeightsVersion' | 'minimumStartWeightsVersion'
>;

function configure(desk: builder.DecisionDriver, weights: Weights): builder.DecisionDriver {
  const service = configuration.modelServiceSchema.parse({
    ...desk.state.services.first(),
    weightsVersion: '2',
    ...weights,
  });
  const documents = new Map([[configuration.documentKey(service), service]]);
  const snapshot = { revision: 2, documents };
  return desk.apply({ kind: ConfigurationChanged, at: desk.at, snapshot });
}

function give(
  desk: builder.DecisionDriver,
  ...versions: readonly (string | undefined)[]
): builder.DecisionDriver {
  const servers = builder
    .listServers(versions.length)
    .map((server, index) => ({ ...server, weightsVersion: versions[index] }));
  return desk.apply({ kind: ServersChanged, at: desk.at, servers });
}

/** A desk whose engines tell these weights, where older ones than version 2 must get no work. */
function deskWith(...versions: readonly (string | undefined)[]): builder.DecisionDriver {
  const desk = configure(builder.createDriver(versions.length), { minimumWeightsVersion: '2' });
  return give(desk, ...versions);
}

/** A desk with one engine and a request that is there, with old weights, when they become too old. */
function lateStart(
  changes: Partial<decision.RequestProfile>,
  begin: (desk: builder.DecisionDriver, sent: decision.Dispatch) => void = () => {},
): builder.DecisionDriver {
  const desk = give(configure(builder.createDriver(1), {}), '1');
  const [sent] = desk.arrive('a', { isStreamed: true, ...changes }).takeEffects(Dispatch);
  begin(desk, sent);
  give(desk, '1', '2');
  return configure(desk, { minimumWeightsVersion: '2', minimumStartWeightsVersion: '2' });
}

suite('a request goes to an engine whose weights are new enough', () => {
  const sent = deskWith('1', '2').arrive('a').takeEffects(Dispatch);
  assert.equal(
    sent.map(({ serverId }) => serverId),
    ['runner-1'],
  );
});

// Guards against an engine that came back with old weights and is listed without a version.
suite('an engine whose weights are not known gets no work while old ones must not', () => {
  assert.is(deskWith(undefined).arrive('a').takeEffects(Dispatch).length, 0);
});

// Guards against a request that waits in an engine until its weights are too old, and begins then.
suite('a stream that has not begun on weights that became too old goes to another engine', () => {
  const desk = lateStart({});
  assert.is(desk.takeEffects(CancelAttempt).length, 1);
  assert.equal(
    desk.takeEffects(Dispatch).map(({ serverId }) => serverId),
    ['runner-1'],
  );
});

suite('one that may run once is ended as may-have-run', () => {
  const desk = lateStart({ idempotent: false });
  assert.is(desk.takeEffects(CancelAttempt).length, 1);
  assert.is(desk.takeEffects(Dispatch).length, 0);
  assert.equal(
    desk.takeEffects(Fail).map(({ failure }) => failure.verdict),
    [verdict.Verdict.MayHaveRun],
  );
});

// Guards against an engine whose entry in the list loses its version while a stream waits there.
suite('a stream at an engine that tells no version any more is taken back too', () => {
  const desk = give(configure(builder.createDriver(1), {}), '1');
  desk.arrive('a', { isStreamed: true });
  give(desk, undefined, '2');
  configure(desk, { minimumWeightsVersion: '2', minimumStartWeightsVersion: '2' });
  assert.is(desk.takeEffects(CancelAttempt).length, 1);
});

// Guards against answers that are broken off although they began in time.
suite('a stream that has begun and a whole answer stay where they are', () => {
  const begun = lateStart({}, (desk, sent) => desk.receivePiece(sent, 1));
  const whole = lateStart({ isStreamed: false });
  [begun, whole].forEach((desk) => assert.is(desk.takeEffects(CancelAttempt).length, 0));
});

suite.run();
