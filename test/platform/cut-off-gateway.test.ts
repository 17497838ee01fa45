import type * as http from 'node:http';
import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';
import * as pausingServer from './pausing-server';

const suite = uvu.suite('gateways that are cut off from all servers');

const FORWARD_LISTEN = { host: '127.0.0.1', port: 0 };

/** Accepts connections and never answers on them, like a link that is cut silently. */
class SilentServer {
  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => {});
  });

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }
}

/** A gateway that reaches the servers and one that does not, and the servers of both. */
interface Pair {
  readonly cut: builder.GatewayBuilder;
  readonly sound: builder.GatewayBuilder;
  readonly servers: readonly fakeBackendServer.FakeBackendServer[];
}

interface PairOptions {
  /** Port at which the gateway in the cut finds the servers; by default one that nobody listens on. */
  readonly port?: number;
  readonly behaviours?: fakeBackendServer.ServerBehaviour[];
  /** Version of the routing document of the sound gateway. */
  readonly soundVersion?: number;
  readonly isSoundCutToo?: boolean;
  /** Limit of open requests of the gateway in the cut. */
  readonly maximumRequests?: number;
  /** Limits of the retries of both gateways. */
  readonly retryLimits?: { ratio: number; slack: number; windowMilliseconds: number };
  /** Durations of the stops of both gateways. */
  readonly stop?: { readonly loadBalancerMilliseconds: number; readonly graceMilliseconds: number };
}

async function withPair(
  { port = 1, behaviours = [fakeBackendServer.answer('served')], ...options }: PairOptions,
  work: (pair: Pair) => Promise<void>,
): Promise<void> {
  const servers = ['i-1', 'i-2', 'i-3', 'i-4'].map(
    (id) => new fakeBackendServer.FakeBackendServer(id, [...behaviours]),
  );
  const build = (version: number, isCut: boolean) =>
    new builder.GatewayBuilder(
      isCut ? servers.map(withoutListening) : servers,
      { ...builder.document(4_000), version },
      control.EMPTY_REGISTER,
      undefined,
      isCut ? () => port : undefined,
      {
        forwardListen: FORWARD_LISTEN,
        ...(options.stop === undefined ? {} : { stop: options.stop }),
        ...(options.retryLimits === undefined ? {} : { retryLimits: options.retryLimits }),
        maximumRequests: isCut ? (options.maximumRequests ?? 100) : 100,
      },
    );
  const sound = build(options.soundVersion ?? 1, false);
  const cut = build(1, true);
  await sound.run(async () => {
    if (options.isSoundCutToo === true) {
      await Promise.all(servers.map((server) => server.close()));
      await cutOff(sound);
    }
    await cut.run(async () => {
      introduce(sound, cut);
      await work({ cut, sound, servers });
    });
    if (options.isSoundCutToo === true) {
      await Promise.all(servers.map((server) => server.listen()));
    }
  });
}

/** A server that only its list entry is needed of: another gateway's builder starts it. */
function withoutListening({ id }: builder.TestServer): builder.TestServer {
  return { id, port: 0, listen: async () => {}, close: async () => {} };
}

/** What the leader would answer to a report; under several ids, the gateway stands for as many. */
function introduce(
  known: builder.GatewayBuilder,
  to: builder.GatewayBuilder,
  daemonIds = ['gateway-2'],
): void {
  const near = daemonIds.map((daemonId) => ({
    daemonId,
    address: known.addressForGateways,
    zone: 'pl-caudan',
    region: 'port-louis',
  }));
  to.plane.deliver(control.PeerTopic.Gateways, { near });
}

/** Lets a gateway notice that it is cut off, by a request that nobody can serve. */
async function cutOff(gateway: builder.GatewayBuilder): Promise<void> {
  await gateway.send('GET', '/balance/0', { 'x-figline-request-id': 'notice' });
}

/** Ids of the requests that servers ran, without the one by which a cut is noticed. */
function runs(servers: readonly fakeBackendServer.FakeBackendServer[]): string[] {
  return servers
    .flatMap(({ requests }) => requests)
    .map(({ headers }) => String(headers['x-figline-request-id']))
    .filter((id) => id !== 'notice');
}

// Guards against callers who are refused at a gateway that has lost its links.
suite('a request is served through another gateway, unchanged and once', async () => {
  await withPair({}, async ({ cut, servers }) => {
    await cutOff(cut);
    const headers = { 'x-own': 'o', 'x-figline-tenant': 'market' };
    const answer = await cut.send('POST', '/charge/7?a=%2F', headers, 'body');
    assert.is(answer.status, 200);
    assert.is(answer.text, 'served');
    assert.is(answer.headers['x-figline-response-seal'], 'seal');
    assert.is(answer.headers['figline-forward'], undefined);
    assert.equal(runs(servers), ['request-1']);
    const received = servers
      .flatMap(({ requests }) => requests)
      .find(({ path }) => path === '/charge/7?a=%2F')!;
    assert.is(received.body, 'body');
    assert.is(received.headers['x-own'], 'o');
    assert.is(received.headers['x-figline-tenant'], 'depot');
    assert.is(received.headers.authorization, undefined);
    assert.is(received.headers['figline-forward'], undefined);
    assert.ok(Number(received.headers['x-figline-deadline-ms']) <= 2_000);
  });
});

// Guards against a body that is lost between two gateways because of the method of its request.
suite('the body of a GET request passes through another gateway', () =>
  withPair({}, async ({ cut, servers }) => {
    await cutOff(cut);
    const headers = { 'x-figline-request-id': 'first', 'content-length': 5 };
    assert.is((await cut.send('GET', '/balance/7', headers, 'sacks')).status, 200);
    const received = servers
      .flatMap(({ requests }) => requests)
      .filter(({ headers: { 'x-figline-request-id': id } }) => id === 'first');
    assert.equal(
      received.map(({ method, body }) => [method, body]),
      [['GET', 'sacks']],
    );
  }),
);

// Guards against a first try that is lost while the gateway only begins to notice the cut.
suite('the request that meets refused connections first is served too', async () => {
  await withPair({}, async ({ cut, servers }) => {
    const answer = await cut.send('POST', '/charge/7');
    assert.is(answer.status, 200);
    assert.equal(runs(servers), ['request-1']);
  });
});

// Guards against requests that hang until their deadline when links are cut silently.
suite('a request that waits at a silent server is served through another gateway', async () => {
  const silent = new SilentServer();
  const port = await silent.listen();
  try {
    await withPair({ port }, async ({ cut }) => {
      const headers = { 'x-figline-deadline-ms': '4000' };
      const answer = await cut.send('GET', '/balance/7', headers);
      assert.is(answer.status, 200);
      const second = await cut.send('GET', '/balance/8', headers);
      assert.is(second.status, 200);
    });
  } finally {
    await silent.close();
  }
});

// Guards against repeats beyond the limit of retries, because the second gateway takes what the first one has sent for new.
suite('a request that may have reached a server is a repeat at the other gateway', async () => {
  const silent = new SilentServer();
  const retryLimits = { ratio: 0, slack: 0, windowMilliseconds: 10_000 };
  try {
    await withPair({ port: await silent.listen(), retryLimits }, async ({ cut, servers }) => {
      const headers = { 'x-figline-deadline-ms': '4000' };
      const sent = { ...headers, 'x-figline-request-id': 'sent' };
      assert.is((await cut.send('GET', '/balance/7', sent)).status, 502);
      const fresh = { ...headers, 'x-figline-request-id': 'fresh' };
      assert.is((await cut.send('GET', '/balance/8', fresh)).status, 200);
      assert.equal(runs(servers), ['fresh']);
    });
  } finally {
    await silent.close();
  }
});

// Guards against a charge that runs at a server behind the cut and once more through another gateway.
suite('a charge that may have reached a server is not sent through another gateway', async () => {
  const silent = new SilentServer();
  const port = await silent.listen();
  try {
    await withPair({ port }, async ({ cut, servers }) => {
      const answer = await cut.send('POST', '/charge/7', { 'x-figline-deadline-ms': '3000' });
      assert.ok([502, 504].includes(answer.status), `status ${answer.status}`);
      assert.equal(runs(servers), []);
    });
  } finally {
    await silent.close();
  }
});

// Guards against streams that are joined, cut or changed on the way through a second gateway.
suite('a stream passes through another gateway event by event', async () => {
  await withPair({ behaviours: [fakeBackendServer.stream(5)] }, async ({ cut }) => {
    await cutOff(cut);
    const answer = await cut.send('POST', '/reply/7');
    assert.ok(answer.isComplete);
    assert.equal(
      answer.text.match(/piece \d/g),
      [1, 2, 3, 4, 5].map((id) => `piece ${id}`),
    );
  });
});

// Guards against work for callers who have left.
suite('a caller who leaves is cancelled at the server behind the other gateway', async () => {
  let closed = 0;
  const hang: fakeBackendServer.ServerBehaviour = (_request, response) => {
    response.on('close', () => {
      closed += 1;
    });
  };
  await withPair({ behaviours: [hang] }, async ({ cut }) => {
    await cut.abandon('GET', '/balance/0', 300);
    await cut.abandon('GET', '/balance/7', 300);
    await cut.time.sleep(300);
    assert.is(closed, 2);
  });
});

/** Sends a stream to a gateway that loses its links, while the server of the stream pauses. */
async function sendPaused(
  behaviours: fakeBackendServer.ServerBehaviour[],
): Promise<{ answer: builder.Answer; first: pausingServer.PausingServer }> {
  const first = new pausingServer.PausingServer();
  await first.server.listen();
  let answer: builder.Answer | undefined;
  try {
    await withPair({ port: first.server.port, behaviours }, async ({ cut }) => {
      answer = await cut.send('POST', '/reply/7', { 'x-figline-deadline-ms': '4000' });
    });
  } finally {
    await first.server.close().catch(() => {});
  }
  return { answer: answer!, first };
}

// Guards against a stream that is cut because its run was given up before another gateway had taken it (LOST).
suite('a stream in a pause runs on when the other gateway has no server for it', async () => {
  const { answer, first } = await sendPaused([fakeBackendServer.refuse]);
  assert.ok(answer.isComplete);
  assert.is(answer.text, pausingServer.eventsOf(1, 6));
  assert.not.ok(first.isCutByCaller, 'its run was given up');
});

// Guards against a caller who waits for a server behind the cut although another gateway can go on.
suite('a stream in a pause goes on through the other gateway if that delivers first', async () => {
  const { answer, first } = await sendPaused([fakeBackendServer.stream(9)]);
  assert.ok(answer.isComplete);
  assert.is(answer.text, pausingServer.eventsOf(1, 9));
  assert.ok(first.isCutByCaller, 'the run at the first server is stopped');
});

// Guards against events that come twice when the own server goes on while another gateway is asked.
suite('a stream runs on when its server goes on before the other gateway delivers', async () => {
  const { answer, first } = await sendPaused([() => {}]);
  assert.ok(answer.isComplete);
  assert.is(answer.text, pausingServer.eventsOf(1, 6));
  assert.not.ok(first.isCutByCaller, 'its run was given up');
});

// Guards against a run that is taken for silent, and its stream for one to hand over, because the caller reads slowly.
suite('a stream whose caller reads slowly stays at its server', async () => {
  const events = 200;
  const padding = 'x'.repeat(100_000);
  const write = async (response: http.ServerResponse) => {
    for (let id = 1; id <= events; id += 1) {
      if (!response.write(`id: ${id}\ndata: ${padding}\n\n`)) {
        await new Promise((resolve) => {
          response.once('drain', resolve);
        });
      }
    }
    response.end();
  };
  const first: fakeBackendServer.FakeBackendServer = new fakeBackendServer.FakeBackendServer(
    'i-1',
    [
      (request, response) => {
        const headers = { 'content-type': 'text/event-stream' };
        response.writeHead(200, { ...fakeBackendServer.sealed(request), ...headers });
        first.stopListening();
        write(response);
      },
    ],
  );
  await first.listen();
  const behaviours = [fakeBackendServer.refuse];
  await withPair({ port: first.port, behaviours }, async ({ cut, servers }) => {
    const read = async (response: http.IncomingMessage) => {
      await cut.time.sleep(2_000);
      const chunks = await response.toArray();
      return Buffer.concat(chunks).toString().match(/^id: /gm)?.length;
    };
    const received = await cut.receive('/reply/7', read, { 'x-figline-deadline-ms': '4000' });
    assert.is(received, events);
    assert.equal(runs(servers), []);
  });
  await first.close().catch(() => {});
});

// Guards against requests that wander between gateways, and against refusals that are not true.
suite('a request is refused at once as not run when the other gateway is cut off too', async () => {
  await withPair({ isSoundCutToo: true }, async ({ cut, servers }) => {
    await cutOff(cut);
    const startedAt = Date.now();
    const answer = await cut.send('POST', '/charge/7');
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(Date.now() - startedAt < 1_000);
    assert.equal(runs(servers), []);
  });
});

// Guards against a route or a key that only an older routing document allows or denies.
suite('a gateway with an older routing document does not run the request', async () => {
  await withPair({ soundVersion: 0 }, async ({ cut, servers }) => {
    await cutOff(cut);
    assert.is((await cut.send('POST', '/charge/7')).status, 503);
    assert.equal(runs(servers), []);
  });
});

// Guards against 'not run' for a charge whose answer was lost with the connection between the gateways.
suite('a charge whose answer is lost behind the other gateway may have run', async () => {
  await withPair({ behaviours: [fakeBackendServer.hangUp] }, async ({ cut, servers }) => {
    await cutOff(cut);
    const answer = await cut.send('POST', '/charge/7');
    assert.is(answer.status, 502);
    assert.equal(runs(servers), ['request-1']);
  });
});

// Guards against a gateway that fills its memory with requests that wait at other gateways.
suite('forwarded requests count towards the limit of open requests', async () => {
  const hang: fakeBackendServer.ServerBehaviour = () => {};
  await withPair({ behaviours: [hang], maximumRequests: 3 }, async ({ cut }) => {
    await cut.abandon('GET', '/balance/0', 300);
    const headers = { 'x-figline-deadline-ms': '700' };
    const open = ['1', '2', '3'].map((id) => cut.send('GET', `/balance/${id}`, headers));
    await cut.time.sleep(200);
    const startedAt = Date.now();
    assert.is((await cut.send('GET', '/balance/4', headers)).status, 503);
    assert.ok(Date.now() - startedAt < 200);
    await Promise.all(open);
  });
});

const STOP_TIMES = { loadBalancerMilliseconds: 200, graceMilliseconds: 300 };

const hang: fakeBackendServer.ServerBehaviour = () => {};

// Guards against a channel that is closed without an answer, while the request runs through another gateway.
suite('a gateway in a cut that stops answers what still runs elsewhere', async () => {
  await withPair({ behaviours: [hang], stop: STOP_TIMES }, async ({ cut, sound, servers }) => {
    introduce(sound, cut, ['gateway-2', 'gateway-3']);
    await cut.abandon('GET', '/balance/0', 300);
    const headers = { 'x-figline-deadline-ms': '4000' };
    const charge = cut.send('POST', '/charge/7', headers);
    const balance = cut.send('GET', '/balance/7', headers);
    await cut.time.sleep(100);
    await cut.stop();
    assert.is((await charge).status, 502);
    assert.is((await balance).status, 502);
    assert.is(runs(servers).length, 3);
  });
});

// Guards against a charge that a neighbour with an old list of gateways sends to one that will have ended.
suite('a gateway that stops does not run a forwarded charge that may outlast it', async () => {
  await withPair({ stop: STOP_TIMES }, async ({ cut, sound, servers }) => {
    await cutOff(cut);
    sound.stop();
    const answer = await cut.send('POST', '/charge/7', { 'x-figline-deadline-ms': '4000' });
    assert.is(answer.status, 503);
    assert.equal(runs(servers), []);
  });
});

// Guards against a charge that is lost with a gateway which has handed it to another one.
suite('a gateway in a cut that stops does not forward a charge that may outlast it', async () => {
  await withPair({ stop: STOP_TIMES }, async ({ cut, servers }) => {
    await cutOff(cut);
    cut.stop();
    const answer = await cut.send('POST', '/charge/7', { 'x-figline-deadline-ms': '4000' });
    assert.is(answer.status, 503);
    assert.equal(runs(servers), []);
  });
});

/** A stream with an event each 100 ms. */
const slowStream: fakeBackendServer.ServerBehaviour = (request, response) => {
  response.writeHead(200, {
    ...fakeBackendServer.sealed(request),
    'content-type': 'text/event-stream',
  });
  let id = 0;
  const timer = setInterval(() => {
    id += 1;
    response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    if (id === SLOW_PIECES) {
      clearInterval(timer);
      response.end();
    }
  }, 100);
};

const SLOW_PIECES = 15;

// Guards against streams that are given up, or whose servers count as crashed, while only new connections are refused.
suite('a stream on an open connection goes on while new connections are refused', async () => {
  const create = () =>
    ['i-1', 'i-2', 'i-3'].map(
      (id) =>
        new fakeBackendServer.FakeBackendServer(id, [
          (request, response) =>
            request.path.startsWith('/reply/')
              ? slowStream(request, response)
              : fakeBackendServer.answer('served')(request, response),
        ]),
    );
  const [cutServers, soundServers] = [create(), create()];
  const build = (servers: readonly builder.TestServer[]) =>
    new builder.GatewayBuilder(
      servers,
      builder.document(4_000),
      control.EMPTY_REGISTER,
      undefined,
      undefined,
      { forwardListen: FORWARD_LISTEN },
    );
  const [cut, sound] = [build(cutServers), build(soundServers)];
  await sound.run(() =>
    cut.run(async () => {
      introduce(sound, cut);
      const streaming = cut.send('POST', '/reply/7', { 'x-figline-deadline-ms': '4000' });
      await cut.time.sleep(300);
      cutServers.forEach((server) => server.stopListening());
      const charge = await cut.send('POST', '/charge/7', { 'x-figline-request-id': 'charge' });
      assert.is(charge.status, 200);
      assert.equal(runs(soundServers), ['charge']);
      const answer = await streaming;
      assert.ok(answer.isComplete);
      assert.is(answer.text.match(/piece/g)?.length, SLOW_PIECES);
      assert.equal(runs(soundServers), ['charge']);
    }),
  );
});

suite.run();
