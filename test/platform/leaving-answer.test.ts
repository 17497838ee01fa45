import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('answers that say that their server leaves');

const REQUESTS = 30;

const PAUSE_MILLISECONDS = 10;

/** Above the time in which the gateway reads the list again, which it has from no leader. */
const LIST_MILLISECONDS = 2_000;

function server(
  id: string,
  behaviour: fakeBackendServer.ServerBehaviour,
  service?: string,
): fakeBackendServer.FakeBackendServer {
  return new fakeBackendServer.FakeBackendServer(id, [behaviour], undefined, service);
}

/** Sends requests one after the other, half of them, and the rest after the list was read again. Returns the statuses. */
async function sendMany(
  gateway: builder.GatewayBuilder,
  method: string,
  path: string,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let turn = 0; turn < REQUESTS; turn += 1) {
    const headers = { 'x-figline-request-id': `request-${turn}` };
    statuses.push((await gateway.send(method, path, headers)).status);
    await gateway.time.sleep(turn === REQUESTS / 2 ? LIST_MILLISECONDS : PAUSE_MILLISECONDS);
  }
  return statuses;
}

const serverFailure: fakeBackendServer.ServerBehaviour = (request, response) => {
  response.writeHead(500, fakeBackendServer.sealed(request));
  response.end('failure');
};

const CASES = [
  { name: 'a success', behaviour: fakeBackendServer.answer('ok'), path: '/balance/7' },
  { name: 'a failure', behaviour: serverFailure, path: '/balance/7' },
  { name: 'a refusal', behaviour: fakeBackendServer.refuse, path: '/balance/7' },
  { name: 'the head of a stream', behaviour: fakeBackendServer.stream(3), path: '/reply/7' },
] as const;

CASES.forEach(({ name, behaviour, path }) => {
  [true, false].forEach((namesRuns) => {
    const list = namesRuns ? 'names its run' : 'names no run';
    suite(`${name} ends new requests at its server, whose entry ${list} and is ready`, async () => {
      const leaving = server('i-1', behaviour);
      const other = server('i-2', path === '/reply/7' ? behaviour : fakeBackendServer.answer('ok'));
      leaving.isLeaving = true;
      const gateway = new builder.GatewayBuilder([leaving, other]);
      gateway.runOf = ({ id }) => (namesRuns ? `${id}@1` : undefined);
      await gateway.run(async () => {
        const statuses = await sendMany(gateway, 'POST', path);
        assert.is(leaving.requests.length, 1);
        assert.ok(other.requests.length >= REQUESTS - 1);
        assert.ok(statuses.filter((status) => status !== 200).length <= 1, statuses.join(' '));
      });
    });
  });
});

suite('an answer of a service without a model ends new requests at its server', async () => {
  const { PLAIN_SERVICE } = builder;
  const leaving = server('i-1', fakeBackendServer.answer('ok'), PLAIN_SERVICE);
  const other = server('i-2', fakeBackendServer.answer('ok'), PLAIN_SERVICE);
  leaving.isLeaving = true;
  const gateway = new builder.GatewayBuilder([leaving, other], plainDocument());
  gateway.runOf = () => undefined;
  await gateway.run(async () => {
    const statuses = await sendMany(gateway, 'POST', '/balance/7');
    assert.equal([...new Set(statuses)], [200]);
    assert.is(leaving.requests.length, 1);
  });
});

// Guards against requests that wait for their deadline although no server takes them.
suite('if all servers leave, requests are refused at once as not run', async () => {
  const servers = ['i-1', 'i-2'].map((id) => server(id, fakeBackendServer.answer('ok')));
  servers.forEach((leaving) => Object.assign(leaving, { isLeaving: true }));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    await gateway.send('POST', '/balance/7');
    await gateway.send('POST', '/balance/8', { 'x-figline-request-id': 'request-2' });
    const startedAt = gateway.time.monotonic();
    const refused = await gateway.send('POST', '/balance/9', {
      'x-figline-request-id': 'request-3',
    });
    assert.is(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.ok(gateway.time.monotonic() - startedAt < 500);
    assert.equal(
      servers.map(({ requests }) => requests.length),
      [1, 1],
    );
  });
});

// Guards against a wait for the deadline when the last server refuses as it leaves.
suite('if the only server refuses and leaves, the request is refused at once', async () => {
  const leaving = server('i-1', fakeBackendServer.refuse);
  leaving.isLeaving = true;
  await new builder.GatewayBuilder([leaving]).run(async (gateway) => {
    const startedAt = gateway.time.monotonic();
    const refused = await gateway.send('POST', '/balance/7');
    assert.is(refused.status, 503);
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.ok(gateway.time.monotonic() - startedAt < 500);
    assert.is(leaving.requests.length, 1);
  });
});

// Guards against requests that were queued while the server still took work.
suite('requests that wait do not reach a server that says meanwhile that it leaves', async () => {
  const slow: fakeBackendServer.ServerBehaviour = (request, response) => {
    setTimeout(() => fakeBackendServer.answer('ok')(request, response), 100);
  };
  const leaving = server('i-1', slow);
  const other = server('i-2', slow);
  leaving.isLeaving = true;
  const oneSlot = builder.document(5_000, 1);
  await new builder.GatewayBuilder([leaving, other], oneSlot).run(async (gateway) => {
    const send = (id: string) =>
      gateway.send('POST', '/balance/7', {
        'x-figline-request-id': id,
        'x-figline-deadline-ms': '5000',
      });
    const ids = Array.from({ length: 8 }, (_unused, index) => `request-${index}`);
    const answers = await Promise.all(ids.map(send));
    assert.equal([...new Set(answers.map(({ status }) => status))], [200]);
    assert.is(leaving.requests.length, 1);
    assert.is(other.requests.length, ids.length - 1);
  });
});

suite('a request in flight at a server that leaves goes on', async () => {
  const slow: fakeBackendServer.ServerBehaviour = (request, response) => {
    response.writeHead(200, {
      ...fakeBackendServer.sealed(request),
      'content-type': 'text/event-stream',
    });
    response.write('id: 1\ndata: first\n\n');
    setTimeout(() => response.end('id: 2\ndata: last\n\n'), 700);
  };
  const leaving = server('i-1', slow);
  leaving.isLeaving = true;
  await new builder.GatewayBuilder([leaving, server('i-2', slow)]).run(async (gateway) => {
    const answers = await Promise.all(
      ['a', 'b', 'c', 'd'].map((id) =>
        gateway.send('POST', '/reply/7', { 'x-figline-request-id': id }),
      ),
    );
    assert.ok(leaving.requests.length > 0);
    answers.forEach(({ status, text, isComplete }) => {
      assert.equal([status, isComplete], [200, true]);
      assert.is(text, 'id: 1\ndata: first\n\nid: 2\ndata: last\n\n');
    });
  });
});

// Guards against a server that is lost for good because an earlier run of it has left.
suite('a server that starts again gets requests again', async () => {
  const leaving = server('i-1', fakeBackendServer.answer('ok'));
  leaving.isLeaving = true;
  let run = 'first';
  const gateway = new builder.GatewayBuilder([leaving]);
  gateway.runOf = () => run;
  await gateway.run(async () => {
    assert.is((await gateway.send('POST', '/balance/7')).status, 200);
    const second = { 'x-figline-request-id': 'request-2' };
    assert.is((await gateway.send('POST', '/balance/7', second)).status, 503);
    leaving.isLeaving = false;
    run = 'second';
    await gateway.time.sleep(LIST_MILLISECONDS);
    const third = { 'x-figline-request-id': 'request-3' };
    assert.is((await gateway.send('POST', '/balance/7', third)).status, 200);
  });
});

suite('a caller cannot set the header', async () => {
  const target = server('i-1', fakeBackendServer.answer('ok'));
  await new builder.GatewayBuilder([target]).run(async (gateway) => {
    await gateway.send('POST', '/balance/7', { 'server-leaving': '1' });
    assert.is(target.requests[0].headers['server-leaving'], undefined);
  });
});

function plainDocument(): object {
  const { routes, ...rest } = builder.document() as { routes: readonly object[] };
  const service = builder.PLAIN_SERVICE;
  return {
    ...rest,
    routes: routes.map((route) => ({ ...route, service })),
    services: [{ name: service, health_path: '/health' }],
  };
}

suite.run();
