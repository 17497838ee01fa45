import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as routes from '../../src/routes';
import * as builder from './table-builder';

const suite = uvu.suite('routes');

suite('a shorter path prefix never takes precedence over a longer one of the same host', () => {
  const index = new routes.RouteIndex(
    builder.table([
      builder.route({ name: 'wide', pathPrefix: '/' }),
      builder.route({ name: 'deep', pathPrefix: '/desk/returns/' }),
      builder.route({ name: 'middle', pathPrefix: '/desk/' }),
      builder.route({ name: 'other', host: 'other.example', pathPrefix: '/desk/returns/late/' }),
    ]),
  );
  assert.is(index.route('desk.example:80', '/desk/returns/late/7?a=/b/')?.name, 'deep');
  assert.is(index.route('DESK.example', '/desk/7')?.name, 'middle');
  assert.is(index.route('desk.example', '/deskx')?.name, 'wide');
  assert.is(index.route('unknown.example', '/desk/'), undefined);
});

suite('a credential belongs to its team, and an unknown one to none', () => {
  const index = new routes.RouteIndex(builder.table([], [builder.team('depot', ['k1', 'k2'])]));
  assert.is(index.team('k2')?.name, 'depot');
  assert.is(index.team('k3'), undefined);
  assert.is(index.team(undefined), undefined);
  assert.ok(index.needsCredential);
});

/** Guards against an error in one route that makes the whole table unusable after it was accepted. */
suite('all errors of a table are reported together', () => {
  const shares = [{ service: 'nowhere', weight: 0 }];
  const table = builder.table(
    [
      builder.route({ name: 'a', shares, timeoutMilliseconds: 0 }),
      builder.route({ name: 'b', host: 'DESK.example' }),
    ],
    [builder.team('depot', ['k']), builder.team('market', ['k'])],
  );
  assert.equal(routes.validationErrors(table), [
    'route a names the unknown service nowhere',
    'the weights of route a add up to 0',
    'the timeout of route a is 0',
    'two routes have the place desk.example/desk/',
    'two teams share a credential',
  ]);
  assert.equal(routes.validationErrors(builder.table([builder.route({})])), []);
});

suite('services are chosen by weight', () => {
  const shares = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
    { service: 'c', weight: 0 },
  ];
  assert.is(routes.chooseService(shares, 0), 'a');
  assert.is(routes.chooseService(shares, 0.899), 'a');
  assert.is(routes.chooseService(shares, 0.9), 'b');
  assert.is(routes.chooseService(shares, 0.9999999), 'b');
});

suite.run();
