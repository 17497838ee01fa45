import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as metrics from '../../src/metrics';
import * as recordingMetrics from '../support/recording-metrics';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('cache namespaces when something about a server is unknown');

const PROMPT = { 'x-figline-model': 'desk-model', 'x-figline-prompt-prefix': 'aa:100,bb:10' };

/** Its shared part is long enough to be copied from another server. */
const LONG_PROMPT = { ...PROMPT, 'x-figline-prompt-prefix': 'aa:1000,bb:10' };

const MARKET = 'key-of-the-market';

const PROBE_MILLISECONDS = 50;

/** The depot is isolated, the market is not; the look-up is public. */
function documentOf(version = 1, slots = 2, isPublic = false): object {
  const document = builder.document(undefined, slots) as { readonly routes: readonly object[] };
  const routes = document.routes.map((route) => ({ ...route, public: isPublic }));
  const tenants = [
    { name: 'depot', api_keys: [builder.CREDENTIAL], isolated: true },
    { name: 'market', api_keys: [MARKET], isolated: false },
  ];
  return { ...document, version, routes, tenants };
}

/** A document that names no model for the service. */
function plainDocument(): object {
  return { ...documentOf(), services: [{ name: 'desk', max_conns: 8 }] };
}

/** Sends a request whose headers name no prompt. */
function sendPlain(gateway: builder.GatewayBuilder, id: string, headers: object = {}) {
  return gateway.send(
    'POST',
    '/charge/7',
    { 'x-figline-request-id': id, ...headers },
    'a prompt of which the headers say nothing',
  );
}

function send(
  gateway: builder.GatewayBuilder,
  id: string,
  credential = builder.CREDENTIAL,
  prompt = PROMPT,
) {
  const headers = { ...prompt, 'x-figline-request-id': id };
  return gateway.send('GET', '/balance/7', { ...headers, authorization: `Token ${credential}` });
}

/** Salts under which requests ran, by the ids of the requests; an absent salt is shared by everybody. */
function saltsOf(...servers: readonly fakeBackendServer.FakeBackendServer[]): [string, unknown][] {
  return servers.flatMap(({ requests }) =>
    requests.map(({ headers }): [string, unknown] => [
      String(headers['x-figline-request-id']),
      headers['x-figline-cache-salt'],
    ]),
  );
}

async function until(gateway: builder.GatewayBuilder, condition: () => boolean): Promise<void> {
  const end = gateway.time.monotonic() + PATIENCE_MILLISECONDS;
  while (!condition() && gateway.time.monotonic() < end) {
    await gateway.time.sleep(5);
  }
}

// Guards against a request that runs without a namespace at a server which has just been found dead, but is alive.
suite('a server that looks dead to probes gets no request without a namespace', async () => {
  const held: (() => void)[] = [];
  const hold: fakeBackendServer.ServerBehaviour = (request, response) => {
    held.push(() => fakeBackendServer.answer('')(request, response));
  };
  const server = new fakeBackendServer.FakeBackendServer('i-1', [
    hold,
    (request, response) => {
      server.isDown = true;
      fakeBackendServer.hangUp(request, response);
    },
    fakeBackendServer.answer(''),
  ]);
  const gateway = new builder.GatewayBuilder([server], documentOf());
  await gateway.run(async () => {
    const first = send(gateway, 'held');
    await until(gateway, () => held.length > 0);
    const others = ['cut', 'depot', 'market'].map((id) =>
      send(gateway, id, id === 'market' ? MARKET : undefined),
    );
    await Promise.race([first, gateway.time.sleep(PROBES_MILLISECONDS)]);
    held.forEach((answer) => answer());
    await Promise.all([first, ...others]);
  });
  saltsOf(server).forEach(([id, salt]) => assert.type(salt, 'string', id));
});

// Guards against isolated teams that share cached parts at an engine whose weights version nobody tells.
suite('an engine without a known weights version keeps the teams apart', async () => {
  const servers = ['i-1', 'i-2'].map(
    (id) => new fakeBackendServer.FakeBackendServer(id, [fakeBackendServer.answer('')]),
  );
  const gateway = new builder.GatewayBuilder(servers, documentOf());
  gateway.weightsVersion = undefined;
  await gateway.run(async () => {
    for (const [index, credential] of [builder.CREDENTIAL, MARKET, MARKET].entries()) {
      const { status } = await send(gateway, `${index}`, credential);
      assert.is(status, 200);
    }
  });
  const salts = new Map(saltsOf(...servers));
  salts.forEach((salt, id) => assert.type(salt, 'string', id));
  assert.is.not(salts.get('0'), salts.get('1'));
});

// Guards against parts of unknown weights that are taken for those of another server's weights, or copied from there.
suite('parts that were made with unknown weights stay at their server', async () => {
  const hold: fakeBackendServer.ServerBehaviour = () => {};
  const servers = ['i-1', 'i-2'].map((id) => new fakeBackendServer.FakeBackendServer(id, [hold]));
  const gateway = new builder.GatewayBuilder(servers, documentOf(1, 1));
  gateway.weightsVersion = undefined;
  await gateway.run(async () => {
    const sent = ['first', 'second'].map((id) => send(gateway, id, MARKET, LONG_PROMPT));
    await until(gateway, () => servers.every(({ requests }) => requests.length > 0));
    const headers = servers.map(({ requests }) => requests[0].headers);
    const [first, second] = headers.map((each) => each['x-figline-cache-salt']);
    assert.type(first, 'string');
    assert.is.not(first, second);
    headers.forEach((each) => assert.is(each['x-figline-kv-fetch'], undefined));
    await Promise.all(sent);
  });
});

// Guards against servers without a model in their reports, whose empty versions are taken for the same weights.
suite('servers that report no model have no common version', async () => {
  const servers = ['i-1', 'i-2'].map(
    (id) => new fakeBackendServer.FakeBackendServer(id, [fakeBackendServer.hangUp]),
  );
  const gateway = new builder.GatewayBuilder(servers, documentOf());
  gateway.weightsVersion = undefined;
  servers.forEach((server) => Object.assign(server, { reportedVersion: undefined }));
  await gateway.run(async () => {
    for (let index = 0; index < 6; index += 1) {
      await send(gateway, `${index}`, MARKET);
      await gateway.time.sleep(PROBE_MILLISECONDS);
    }
  });
  const headers = servers.map(({ requests }) => requests.at(-1)!.headers);
  const [first, second] = headers.map((each) => each['x-figline-cache-salt']);
  assert.is.not(first, second);
  headers.forEach((each) => assert.is(each['x-figline-expect-version'], undefined));
});

// Guards against a request that loses its namespace with the model of its service, which a newer document has dropped.
suite('a request whose service has lost its model keeps its team apart', async () => {
  const held: (() => void)[] = [];
  const server = new fakeBackendServer.FakeBackendServer('i-1', [
    (request, response) => held.push(() => fakeBackendServer.answer('')(request, response)),
    fakeBackendServer.answer(''),
  ]);
  const gateway = new builder.GatewayBuilder([server], documentOf(1, 1));
  await gateway.run(async () => {
    const sent = [send(gateway, 'held')];
    await until(gateway, () => held.length > 0);
    sent.push(send(gateway, 'depot'), send(gateway, 'market', MARKET));
    await gateway.time.sleep(50);
    const plain = { ...documentOf(2, 1), services: [{ name: 'desk', max_conns: 8 }] };
    const text = JSON.stringify(plain);
    gateway.plane.change(control.putRouting(gateway.plane.current, { version: 2, text }));
    held.forEach((answer) => answer());
    sent.push(send(gateway, 'late', MARKET));
    await Promise.all(sent);
  });
  const salts = new Map(saltsOf(server));
  assert.is(salts.size, 4);
  salts.forEach((salt, id) => assert.type(salt, 'string', id));
  assert.is.not(salts.get('depot'), salts.get('market'));
});

// Guards against a prompt that reaches an engine without a namespace, since the document takes its service for a plain one.
[undefined, '3'].forEach((listedVersion) => {
  const listed = listedVersion === undefined ? 'no weights' : 'weights';
  suite(`each request has a namespace at a plain service whose server has ${listed}`, async () => {
    const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.answer('')]);
    const gateway = new builder.GatewayBuilder([server], plainDocument());
    gateway.weightsVersion = listedVersion;
    await gateway.run(async () => {
      await send(gateway, 'parts');
      await sendPlain(gateway, 'tokens', { 'x-figline-token-counts': '12,3' });
      await sendPlain(gateway, 'body');
      await sendPlain(gateway, 'zero', { 'x-figline-token-counts': '0,0' });
      await sendPlain(gateway, 'unreadable', {
        'x-figline-token-counts': 'many',
        'x-figline-prompt-prefix': 'part',
      });
      await sendPlain(gateway, 'market', { authorization: `Token ${MARKET}` });
    });
    const salts = new Map(saltsOf(server));
    assert.is(salts.size, 6);
    salts.forEach((salt, id) => assert.type(salt, 'string', id));
    ['tokens', 'body', 'zero', 'unreadable'].forEach((id) =>
      assert.is(salts.get(id), salts.get('parts'), id),
    );
    assert.is.not(salts.get('market'), salts.get('body'));
    server.requests.forEach(({ headers }) =>
      assert.is(headers['x-figline-expect-version'], listedVersion),
    );
  });
});

// Guards against requests of plain services that count as attempts at engines of unknown weights, or have a rank without use.
suite('a plain service has neither unknown weights nor ranks', async () => {
  const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.answer('')]);
  const gateway = new builder.GatewayBuilder([server], plainDocument());
  const meter = new recordingMetrics.RecordingMetrics();
  Object.assign(gateway, { weightsVersion: undefined, meter });
  const unknownWeights = () =>
    meter.observations.filter(({ name }) => name === metrics.Counter.UnknownWeights).length;
  await gateway.run(async () => {
    await sendPlain(gateway, 'plain');
    assert.is(unknownWeights(), 0);
    await send(gateway, 'prompt');
    assert.is(unknownWeights(), 1);
  });
  const [plain, prompt] = server.requests.map(({ headers }) => headers);
  assert.is(plain['x-figline-request-priority'], undefined);
  assert.type(prompt['x-figline-request-priority'], 'string');
});

// Guards against callers that share nothing because they send a credential which the document has no use for.
suite('credentials do not separate callers in a document without teams', async () => {
  const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.answer('')]);
  const gateway = new builder.GatewayBuilder([server], { ...documentOf(), tenants: undefined });
  await gateway.run(async () => {
    await send(gateway, 'a', 'one');
    await send(gateway, 'b', 'two');
  });
  assert.equal(
    saltsOf(server).map(([, salt]) => salt),
    ['3.desk-model', '3.desk-model'],
  );
});

// Guards against callers without a team that use parts of teams which have become isolated meanwhile.
suite('a caller without a team is kept apart while the document may be outdated', async () => {
  const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.answer('')]);
  const gateway = new builder.GatewayBuilder([server], documentOf(1, 2, true));
  await gateway.run(async () => {
    await send(gateway, 'market', MARKET);
    gateway.plane.copyAge = OUT_OF_TOUCH_MILLISECONDS;
    await gateway.send('GET', '/balance/7', {
      ...PROMPT,
      authorization: '',
      'x-figline-request-id': 'nobody',
    });
  });
  const salts = new Map(saltsOf(server));
  assert.is(salts.get('market'), '3.desk-model');
  assert.type(salts.get('nobody'), 'string');
  assert.is.not(salts.get('nobody'), salts.get('market'));
});

// Guards against an isolated team whose new credential is not known here yet, and whose requests share parts with others.
suite('a caller with an unknown credential shares parts with nobody', async () => {
  const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.answer('')]);
  const gateway = new builder.GatewayBuilder([server], documentOf(1, 2, true));
  await gateway.run(async () => {
    await send(gateway, 'market', MARKET);
    await send(gateway, 'new', 'credential-of-the-next-document');
    await send(gateway, 'other', 'another-credential');
  });
  const salts = new Map(saltsOf(server));
  assert.is(new Set(salts.values()).size, 3);
  assert.is(salts.get('market'), '3.desk-model');
});

suite.run();

const OUT_OF_TOUCH_MILLISECONDS = 10_000;

/** Two failed probes, and the time in between. */
const PROBES_MILLISECONDS = 1_000;

const PATIENCE_MILLISECONDS = 1_500;
