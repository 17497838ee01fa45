import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('cached prompt parts of a team that becomes isolated');

const PROMPT = { 'x-figline-model': 'desk-model', 'x-figline-prompt-prefix': 'aa:100,bb:10' };

/** Documents in which one of two teams may be isolated; the server takes one request at a time. */
function documentOf(version: number, isIsolated: boolean): object {
  const tenants = [
    { name: 'depot', api_keys: [builder.CREDENTIAL], isolated: isIsolated },
    { name: 'market', api_keys: ['key-of-the-market'], isolated: false },
  ];
  return { ...builder.document(undefined, 1), version, tenants };
}

function teamsOf(isIsolated: boolean): control.DocumentTeams {
  return isIsolated
    ? { isolated: ['depot'], sharing: ['market'] }
    : { isolated: [], sharing: ['depot', 'market'] };
}

function registerOf(...isIsolated: boolean[]): control.Register {
  return isIsolated.reduce((register, each, index) => {
    const version = index + 1;
    const text = JSON.stringify(documentOf(version, each));
    return control.putRouting(register, { version, text, teams: teamsOf(each) });
  }, control.EMPTY_REGISTER);
}

/** A server that keeps its first request until the test lets it go. */
class HoldingServer {
  private release: (() => void) | undefined;

  readonly server = new fakeBackendServer.FakeBackendServer('i-1', [
    (request, response) => {
      this.release = () => fakeBackendServer.answer('')(request, response);
    },
    fakeBackendServer.answer(''),
  ]);

  answerFirst(): void {
    this.release?.();
  }

  saltOf(id: string): string | undefined {
    const [request] = this.server.requests.filter(
      ({ headers }) => headers['x-figline-request-id'] === id,
    );
    return request?.headers['x-figline-cache-salt'] as string | undefined;
  }
}

function send(gateway: builder.GatewayBuilder, id: string, credential: string) {
  const authorization = `Token ${credential}`;
  const headers = { ...PROMPT, authorization, 'x-figline-request-id': id };
  return gateway.send('GET', '/balance/7', headers);
}

/** Sends the first request, of the market, and lets the server answer it. */
async function sendFirst(gateway: builder.GatewayBuilder, holding: HoldingServer): Promise<void> {
  const sent = send(gateway, 'market', 'key-of-the-market');
  while (holding.server.requests.length === 0) {
    await gateway.time.sleep(5);
  }
  holding.answerFirst();
  await sent;
}

// Guards against a request that has waited since before a document and runs on parts of a team that has become isolated.
suite('a request that waits uses the namespace of its start, not of its arrival', async () => {
  const holding = new HoldingServer();
  const gateway = new builder.GatewayBuilder([holding.server], documentOf(1, false));
  await gateway.run(async () => {
    const first = send(gateway, 'first', 'key-of-the-market');
    while (holding.server.requests.length === 0) {
      await gateway.time.sleep(5);
    }
    const waiting = ['key-of-the-market', builder.CREDENTIAL].map((credential, index) =>
      send(gateway, `waiting-${index}`, credential),
    );
    await gateway.time.sleep(100);
    gateway.plane.change(registerOf(false, true));
    holding.answerFirst();
    const answers = await Promise.all([first, ...waiting]);
    answers.forEach(({ status }) => assert.is(status, 200));
    assert.is(holding.saltOf('first'), '3.desk-model');
    assert.is(holding.saltOf('waiting-0'), '3.desk-model:2');
    assert.is(holding.saltOf('waiting-1'), '3.desk-model.depot');
  });
});

// Guards against a gateway that starts later and does not know that parts must not be shared any more.
suite('a gateway that starts later uses the same namespaces', async () => {
  const holding = new HoldingServer();
  const document = documentOf(2, true);
  const gateway = new builder.GatewayBuilder([holding.server], document);
  await gateway.run(async () => {
    gateway.plane.change(registerOf(false, true, false));
    holding.answerFirst();
    await sendFirst(gateway, holding);
    await send(gateway, 'depot', builder.CREDENTIAL);
    assert.is(holding.saltOf('market'), '3.desk-model:2');
    assert.is(holding.saltOf('depot'), '3.desk-model:2');
  });
});

// Guards against parts of a team that has become isolated while this gateway was out of touch.
suite('a gateway that was out of touch for long keeps the parts of all teams apart', async () => {
  const holding = new HoldingServer();
  const gateway = new builder.GatewayBuilder([holding.server], documentOf(1, false));
  await gateway.run(async () => {
    gateway.plane.copyAge = OUT_OF_TOUCH_MILLISECONDS;
    await sendFirst(gateway, holding);
    await send(gateway, 'depot', builder.CREDENTIAL);
    gateway.plane.copyAge = 0;
    await send(gateway, 'recent', builder.CREDENTIAL);
    const salts = ['market', 'depot', 'recent'].map((id) => holding.saltOf(id));
    assert.equal(salts, ['3.desk-model.market', '3.desk-model.depot', '3.desk-model']);
  });
});

// Guards against parts that teams share later than a document which isolates one of them has to be in force.
suite(
  'teams are kept apart as soon as a document may be in force that this gateway lacks',
  async () => {
    const holding = new HoldingServer();
    const gateway = new builder.GatewayBuilder([holding.server], documentOf(1, false));
    await gateway.run(async () => {
      gateway.plane.copyAge = APPLY_MILLISECONDS - 1;
      await sendFirst(gateway, holding);
      gateway.plane.copyAge = APPLY_MILLISECONDS;
      await send(gateway, 'depot', builder.CREDENTIAL);
      const salts = ['market', 'depot'].map((id) => holding.saltOf(id));
      assert.equal(salts, ['3.desk-model', '3.desk-model.depot']);
    });
  },
);

suite.run();

/** In which a document has to be in force, by the settings of the test's gateway. */
const APPLY_MILLISECONDS = 2_500;

const OUT_OF_TOUCH_MILLISECONDS = 10_000;
