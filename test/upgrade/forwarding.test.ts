import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as control from '../../src/control';
import * as fakeBackendServer from '../platform/fake-backend-server';
import type * as gatewayBuilder from '../platform/gateway-builder';
import * as buildModule from './build';

const suite = uvu.suite('requests forwarded between gateways of two builds');

const production = buildModule.Build.production();
const current = buildModule.Build.current();

suite.after(() => {
  production.remove();
  current.remove();
});

const FORWARD_LISTEN = { host: '127.0.0.1', port: 0 };

/** Nobody listens here. */
const CLOSED_PORT = 1;

interface Pair {
  /** The gateway that reaches no server. */
  readonly cut: gatewayBuilder.GatewayBuilder;
  readonly servers: readonly fakeBackendServer.FakeBackendServer[];
}

/** Runs a gateway that is cut off and one that takes its requests; the fixtures of each build start its gateway. */
async function withPair(
  cutBuild: buildModule.Build,
  soundBuild: buildModule.Build,
  behaviour: fakeBackendServer.ServerBehaviour,
  work: (pair: Pair) => Promise<void>,
): Promise<void> {
  const servers = ['i-1', 'i-2', 'i-3', 'i-4'].map(
    (id) => new fakeBackendServer.FakeBackendServer(id, [behaviour]),
  );
  const sound = createGateway(soundBuild, servers);
  const listed = servers.map(({ id }) => ({
    id,
    port: CLOSED_PORT,
    listen: async () => {},
    close: async () => {},
  }));
  const cut = createGateway(cutBuild, listed);
  await sound.run(() =>
    cut.run(async () => {
      const place = { zone: 'pl-caudan', region: 'port-louis' };
      const near = [{ daemonId: 'gateway-2', address: sound.addressForGateways, ...place }];
      const { PeerTopic } = cutBuild.load<typeof control>('src/control');
      cut.plane.deliver(PeerTopic.Gateways, { near });
      await work({ cut, servers });
    }),
  );
}

function createGateway(
  build: buildModule.Build,
  servers: readonly gatewayBuilder.TestServer[],
): gatewayBuilder.GatewayBuilder {
  const builder = build.load<typeof gatewayBuilder>('test/platform/gateway-builder');
  return new builder.GatewayBuilder(
    servers,
    builder.document(4_000),
    build.load<typeof control>('src/control').EMPTY_REGISTER,
    undefined,
    undefined,
    { forwardListen: FORWARD_LISTEN },
  );
}

function runs(servers: readonly fakeBackendServer.FakeBackendServer[]): string[] {
  return servers
    .flatMap(({ requests }) => requests)
    .map(({ headers }) => String(headers['x-figline-request-id']))
    .sort();
}

[
  [production, current],
  [current, production],
].forEach(([cutBuild, soundBuild]) => {
  const way = `from ${cutBuild === production ? 'the last landing' : 'the working tree'}`;

  // Guards against callers who are refused, or served twice, while gateways of two builds forward to each other.
  suite(`${way}: a request and a charge are served once through the other gateway`, () =>
    withPair(cutBuild, soundBuild, fakeBackendServer.answer('served'), async ({ cut, servers }) => {
      const headers = { 'x-figline-request-id': 'look-up' };
      const lookUp = await cut.send('GET', '/balance/7', headers);
      assert.is(lookUp.status, 200);
      const charge = await cut.send(
        'POST',
        '/charge/7',
        { 'x-figline-request-id': 'charge' },
        'body',
      );
      assert.is(charge.status, 200);
      assert.is(charge.text, 'served');
      assert.is(charge.headers['figline-forward'], undefined);
      assert.equal(runs(servers), ['charge', 'look-up']);
      const received = servers
        .flatMap(({ requests }) => requests)
        .find(({ path }) => path === '/charge/7')!;
      assert.is(received.body, 'body');
      assert.is(received.headers['x-figline-tenant'], 'depot');
    }),
  );

  // Guards against streams that are joined, cut or changed between gateways of two builds.
  suite(`${way}: a stream passes through the other gateway event by event`, () =>
    withPair(cutBuild, soundBuild, fakeBackendServer.stream(5), async ({ cut }) => {
      await cut.send('GET', '/balance/0');
      const whole = await cut.send('POST', '/reply/7');
      assert.ok(whole.isComplete);
      assert.equal(whole.text.match(/piece \d/g), [1, 2, 3, 4, 5].map(pieceOf));
      const rest = await cut.send('POST', '/reply/8', { 'last-event-id': '2', resumes: 'earlier' });
      assert.ok(rest.isComplete);
      assert.equal(rest.text.match(/piece \d/g), [3, 4, 5].map(pieceOf));
    }),
  );

  // Guards against a refusal that the other build takes for an answer, so that a request is lost or runs twice.
  suite(`${way}: a refusal of the other gateway's servers reaches the caller as not run`, () =>
    withPair(cutBuild, soundBuild, fakeBackendServer.refuse, async ({ cut }) => {
      await cut.send('GET', '/balance/0');
      const charge = await cut.send('POST', '/charge/7');
      assert.is(charge.status, 503);
      assert.ok(Number(charge.headers['retry-after']) > 0);
    }),
  );
});

suite.run();

function pieceOf(id: number): string {
  return `piece ${id}`;
}
