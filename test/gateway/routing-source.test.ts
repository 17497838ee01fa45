import * as results from 'ts-results';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as routingSource from '../../src/gateway/routing-source';
import * as weightsAge from '../../src/gateway/weights-age';
import * as routes from '../../src/routes';

const suite = uvu.suite('routing source');

const TRAITS = { slots: 8, cacheTokens: 0, cacheTokenBytes: 1, linkMegabitsPerSecond: 1 };

/** Decodes a document that consists of the name of a model, which its only service runs. */
function decode(text: string): results.Result<routes.RoutingTable, readonly string[]> {
  const engine = { ...TRAITS, model: text };
  const services = [{ name: 'desk', healthPath: '/health', maximumConnections: 8, engine }];
  return new results.Ok({ version: 1, routes: [], services });
}

// Guards against a routing that is computed again for each event once no service runs a model any more.
suite('the end of a grace time changes the routing only once, even for a removed model', () => {
  const time = new clock.ManualClock();
  const ages = {
    dispatch: new weightsAge.WeightsAge(time, 6_000),
    start: new weightsAge.WeightsAge(time, 7_000),
  };
  const engineProperties = {
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    checksFencing: true,
  };
  const source = new routingSource.RoutingSource(decode, engineProperties, ages);
  const old = control.putRouting(control.EMPTY_REGISTER, { version: 1, text: 'old-model' });
  const desired = control.setDesiredWeights(old, 'old-model', 2, time.now());
  source.update(desired);
  source.update(control.putRouting(desired, { version: 2, text: 'new-model' }));
  assert.is(source.refresh(), undefined);
  const renewed = [6_000, 0, 1_000, 0].map((milliseconds) => {
    time.advance(milliseconds);
    return source.refresh() !== undefined;
  });
  assert.equal(renewed, [true, false, true, false]);
});

// Guards against a whole service that is ordered to load at once because the clock of the leader was set forward.
suite('the ages of desired versions for orders do not include a step of the wall clock', () => {
  const time = new clock.ManualClock();
  const age = new weightsAge.WeightsAge(time, 6_000);
  const engineProperties = {
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    checksFencing: true,
  };
  const source = new routingSource.RoutingSource(decode, engineProperties, {
    dispatch: age,
    start: age,
  });
  assert.equal(source.desiredVersions('desk'), []);
  const routed = control.putRouting(control.EMPTY_REGISTER, { version: 1, text: 'model' });
  const second = control.setDesiredWeights(routed, 'model', 2, time.now());
  source.update(second);
  time.advance(4_400);
  source.update(control.setDesiredWeights(second, 'model', 3, time.now()));
  time.suspend(60_000);
  time.advance(1_000);
  assert.equal(source.desiredVersions('desk'), [
    { weightsVersion: '2', ageMilliseconds: 5_400 },
    { weightsVersion: '3', ageMilliseconds: 1_000 },
  ]);
});

// Guards against teams that share the parts of before again: a register of control daemons that have lost their history names no
// start of the sharing, while the routing document stays in use.
suite('a register that names no start of the sharing does not take back the known one', () => {
  const engineProperties = {
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    checksFencing: true,
  };
  const source = new routingSource.RoutingSource(decode, engineProperties);
  const teams = (isolated: string[], sharing: string[]) => ({ isolated, sharing });
  const documents = [teams([], ['depot', 'market']), teams(['depot'], ['market'])];
  const register = documents.reduce(
    (before, next, index) =>
      control.putRouting(before, { version: index + 1, text: 'model', teams: next }),
    control.EMPTY_REGISTER,
  );
  assert.is(source.update(register)?.sharedSince, 2);
  const withoutDocument = control.setDesiredWeights(control.EMPTY_REGISTER, 'model', 2, 0);
  assert.is(source.update(withoutDocument)?.sharedSince, 2);
  const resent = control.putRouting(withoutDocument, {
    version: 2,
    text: 'model',
    teams: documents[1],
  });
  assert.is(source.update(resent)?.sharedSince, 2);
});

// Guards against requests on old weights: a register that does not name the weights of a model let all versions be used.
suite('a register that names no weights of a model does not take back the known ones', () => {
  const time = new clock.ManualClock();
  const ages = {
    dispatch: new weightsAge.WeightsAge(time, 6_000),
    start: new weightsAge.WeightsAge(time, 7_000),
  };
  const engineProperties = {
    prefillTokensPerSecond: 1,
    decodeTokensPerSecond: 1,
    checksFencing: true,
  };
  const source = new routingSource.RoutingSource(decode, engineProperties, ages);
  const routed = control.putRouting(control.EMPTY_REGISTER, { version: 1, text: 'model' });
  source.update(control.setDesiredWeights(routed, 'model', 2, time.now()));
  time.advance(8_000);
  source.refresh();
  const minimumOf = () =>
    [...source.snapshot.documents.values()].flatMap((document) =>
      'minimumWeightsVersion' in document ? document.minimumWeightsVersion : [],
    );
  assert.equal(minimumOf(), ['2']);
  source.update(routed);
  assert.equal(minimumOf(), ['2']);
});

suite.run();
