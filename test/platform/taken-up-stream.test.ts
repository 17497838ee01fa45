import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('streams that callers take up again');

const PIECES = 6;

/** A stream whose events name the version that wrote them; it breaks off after some events if it begins with the first. */
function versioned(version: string): fakeBackendServer.ServerBehaviour {
  return (request, response) => {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    const last = first === 1 ? PIECES / 2 : PIECES;
    response.writeHead(200, {
      ...fakeBackendServer.sealed(request),
      'content-type': 'text/event-stream',
    });
    for (let id = first; id <= last; id += 1) {
      response.write(`id: ${id}\ndata: ${version}\n\n`);
    }
    if (last === PIECES) {
      response.end();
    } else {
      setTimeout(() => response.destroy(), 50);
    }
  };
}

function createServers(versions: readonly string[]): fakeBackendServer.FakeBackendServer[] {
  return versions.map(
    (version, index) =>
      new fakeBackendServer.FakeBackendServer(`i-${index}`, [versioned(version)], version),
  );
}

/** A gateway whose route allows one attempt, so that callers have to take broken streams up themselves. */
function createGateway(
  servers: readonly fakeBackendServer.FakeBackendServer[],
  versions: readonly string[],
): builder.GatewayBuilder {
  const register = control.changeSoftwareVersions(control.EMPTY_REGISTER, 'desk', versions, []);
  const content = builder.document() as { routes: { name: string; max_attempts: number }[] };
  content.routes.find(({ name }) => name === 'reply')!.max_attempts = 1;
  return new builder.GatewayBuilder(servers, content, register);
}

async function begin(gateway: builder.GatewayBuilder, id: string): Promise<string> {
  const answer = await gateway.send('POST', `/reply/${id}`, { 'x-figline-request-id': id });
  assert.is(answer.isComplete, false);
  return versionsIn(answer.text);
}

/** The second try of a caller that has received half of the events. */
function takeUp(gateway: builder.GatewayBuilder, id: string): Promise<builder.Answer> {
  return gateway.send('POST', `/reply/${id}`, {
    'x-figline-request-id': `${id}-again`,
    'last-event-id': String(PIECES / 2),
    resumes: id,
  });
}

function versionsIn(text: string): string {
  return [...new Set(text.match(/v\d/g) ?? [])].join();
}

const IDS = Array.from({ length: 12 }, (_, index) => `stream-${index}`);

// Guards against text joined from two versions when callers come back after all gateways were killed.
suite(
  'a stream goes on at the version that began it after the gateway has started again',
  async () => {
    const servers = createServers(['v1', 'v2', 'v1', 'v2']);
    const gateway = createGateway(servers, ['v1', 'v2']);
    const begun = new Map<string, string>();
    await gateway.run(async () => {
      for (const id of IDS) {
        begun.set(id, await begin(gateway, id));
      }
    });
    assert.is(new Set(begun.values()).size, 2);
    await gateway.run(async () => {
      // The other order keeps the random choice of servers from repeating itself.
      for (const id of [...IDS].reverse()) {
        const answer = await takeUp(gateway, id);
        assert.is(answer.status, 200);
        assert.is(versionsIn(answer.text), begun.get(id));
      }
    });
  },
);

// Guards against a guess at a stream that nobody has recorded, and against a wait for a guess.
suite('a stream of an unknown version is refused at once as not run', async () => {
  const servers = createServers(['v1', 'v2']);
  const gateway = createGateway(servers, ['v1', 'v2']);
  await gateway.run(async () => {
    const startedAt = Date.now();
    const answer = await takeUp(gateway, 'unrecorded');
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(Date.now() - startedAt < 1_000);
    assert.equal(
      servers.flatMap(({ requests }) => requests),
      [],
    );
  });
});

// Guards against refusals of streams that cannot be joined wrongly.
suite('with one version a stream goes on at a gateway that knows nothing of it', async () => {
  const servers = createServers(['v1', 'v1']);
  const gateway = createGateway(servers, ['v1']);
  await gateway.run(async () => {
    const answer = await takeUp(gateway, 'unrecorded');
    assert.is(answer.status, 200);
    assert.ok(answer.isComplete);
  });
});

// Guards against text joined at a gateway that is cut off and takes the version that it knows for the only one.
suite('a gateway that is cut off refuses a stream that it does not know at once', async () => {
  const servers = createServers(['v1', 'v1']);
  const gateway = createGateway(servers, ['v1']);
  await gateway.run(async () => {
    gateway.plane.isCutOff = true;
    const startedAt = Date.now();
    const answer = await takeUp(gateway, 'unrecorded');
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(Date.now() - startedAt < 1_000);
    assert.equal(
      servers.flatMap(({ requests }) => requests),
      [],
    );
  });
});

// Guards against refusals of streams that a gateway itself began before it was cut off.
suite('a gateway that is cut off goes on with its own streams', async () => {
  const servers = createServers(['v1', 'v1']);
  const gateway = createGateway(servers, ['v1']);
  await gateway.run(async () => {
    await begin(gateway, 'own');
    gateway.plane.isCutOff = true;
    const answer = await takeUp(gateway, 'own');
    assert.is(answer.status, 200);
    assert.ok(answer.isComplete);
  });
});

// Guards against a stream of a version that has left for good and that waits until its caller's deadline.
suite('a stream whose version has left is refused at once', async () => {
  const servers = createServers(['v1', 'v2']);
  const gateway = createGateway(servers, ['v1', 'v2']);
  const begun = new Map<string, string>();
  await gateway.run(async () => {
    for (const id of IDS) {
      begun.set(id, await begin(gateway, id));
    }
  });
  const remaining = createGateway(servers.slice(1), ['v1', 'v2']);
  const [old] = IDS.filter((id) => begun.get(id) === 'v1');
  await remaining.run(async () => {
    const answer = await takeUp(remaining, old);
    assert.is(answer.status, 503);
    assert.equal(
      servers[1].requests.filter(({ headers }) => headers.resumes === old),
      [],
    );
  });
});

/** A gateway whose route for streams is split between two services, with their servers. */
function createSplit() {
  const servers = ['desk', 'annex', 'desk', 'annex'].map(
    (service, index) =>
      new fakeBackendServer.FakeBackendServer(`i-${index}`, [versioned('v1')], 'v1', service),
  );
  const content = builder.document() as {
    routes: { name: string; max_attempts: number; service?: string; traffic_split?: object[] }[];
    services: { name: string }[];
  };
  const reply = content.routes.find(({ name }) => name === 'reply')!;
  const split = [
    { service: 'desk', weight: 1 },
    { service: 'annex', weight: 1 },
  ];
  Object.assign(reply, { max_attempts: 1, service: undefined, traffic_split: split });
  content.services.push({ ...content.services[0], name: 'annex' });
  return { servers, gateway: new builder.GatewayBuilder(servers, content) };
}

// Guards against text joined from two services when the route splits its requests between them.
suite('a stream of a split route is taken up at the service that began it', async () => {
  const { servers, gateway } = createSplit();
  const servicesOf = (id: string) =>
    new Set(
      servers
        .filter(({ requests }) => requests.some(({ path }) => path === `/reply/${id}`))
        .map(({ service }) => service),
    );
  await gateway.run(async () => {
    for (const id of IDS) {
      await begin(gateway, id);
      await takeUp(gateway, id);
    }
  });
  assert.is(new Set(IDS.flatMap((id) => [...servicesOf(id)])).size, 2);
  IDS.forEach((id) => assert.is(servicesOf(id).size, 1));
});

// Guards against text joined from two services when a caller does not name the attempt that began its stream: the service was then
// chosen by the id of the later attempt.
suite('a stream of a split route that nobody names is refused as not run', async () => {
  const { servers, gateway } = createSplit();
  await gateway.run(async () => {
    for (const id of IDS) {
      const answer = await gateway.send('POST', `/reply/${id}`, {
        'x-figline-request-id': id,
        'last-event-id': String(PIECES / 2),
      });
      assert.is(answer.status, 503);
      assert.ok(Number(answer.headers['retry-after']) > 0);
    }
  });
  assert.equal(
    servers.flatMap(({ requests }) => requests),
    [],
  );
});

suite.run();
