import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as capturedLog from '../support/captured-log';
import * as forwardedClock from '../support/forwarded-clock';
import * as suspendableClock from '../support/suspendable-clock';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('gateway on the platform');

function createServer(
  ...behaviours: fakeBackendServer.ServerBehaviour[]
): fakeBackendServer.FakeBackendServer {
  return new fakeBackendServer.FakeBackendServer('i-1', behaviours);
}

/** Two servers that share the list of behaviours. */
function createServers(
  ...behaviours: fakeBackendServer.ServerBehaviour[]
): fakeBackendServer.FakeBackendServer[] {
  return ['i-1', 'i-2'].map((id) => new fakeBackendServer.FakeBackendServer(id, behaviours));
}

suite('an answer is relayed unchanged, with its seal', async () => {
  const server = createServer(fakeBackendServer.answer('7 sacks', { 'x-kind': 'k' }));
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    const answer = await gateway.send('POST', '/charge/7?a=%2F', { 'x-own': 'o' }, 'body');
    assert.is(answer.status, 200);
    assert.is(answer.text, '7 sacks');
    assert.is(answer.headers['x-figline-response-seal'], 'seal');
    assert.is(answer.headers['x-kind'], 'k');
    const [received] = server.requests;
    assert.is(received.method, 'POST');
    assert.is(received.path, '/charge/7?a=%2F');
    assert.is(received.body, 'body');
    assert.is(received.headers['x-own'], 'o');
    assert.is(received.headers.host, 'desk.example');
  });
});

/** Guards against callers that use the cache or the identity of another team. */
suite('headers that only the router may set are never forwarded from a caller', async () => {
  const server = createServer(fakeBackendServer.answer('ok'));
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    await gateway.send('GET', '/balance/7', {
      'x-figline-tenant': 'market',
      'x-figline-cache-salt': 'other',
      'x-figline-kv-fetch': '10.0.0.1:1',
      'x-figline-kv-save': '10.0.0.1:1',
      'x-figline-hold': 'h',
      'x-figline-pin-ms': '1000',
      'x-figline-kv-backup': '10.0.0.1:1',
      'kv-from': '10.0.0.1:1/2',
      'x-figline-expect-instance': 'i-9',
    });
    const { headers } = server.requests[0];
    assert.is(headers['x-figline-tenant'], 'depot');
    assert.is(headers['x-figline-cache-salt'], '3.desk-model.depot');
    assert.is(headers['x-figline-expect-version'], '3');
    assert.is(headers['x-figline-expect-instance'], 'i-1');
    const names = ['kv-fetch', 'kv-save', 'hold', 'pin-ms', 'kv-backup'];
    names.forEach((name) => assert.is(headers[`x-figline-${name}`], undefined));
    assert.is(headers['kv-from'], undefined);
    assert.is(headers.authorization, undefined);
    assert.ok(Number(headers['x-figline-deadline-ms']) <= 2_000);
  });
});

suite('requests with an unknown host, path or credential reach no server', async () => {
  const server = createServer(fakeBackendServer.answer('ok'));
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    assert.is((await gateway.send('GET', '/nowhere/7')).status, 404);
    assert.is((await gateway.send('GET', '/balance/7', { host: 'x.example' })).status, 404);
    const unknown = await gateway.send('GET', '/balance/7', { authorization: 'Token other' });
    assert.is(unknown.status, 401);
    assert.is(server.requests.length, 0);
  });
});

suite('a broken resumable stream is resumed at another server and repeats no event', async () => {
  const servers = createServers(
    fakeBackendServer.stream(3, 'id: 4\nda'),
    fakeBackendServer.stream(6),
  );
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const answer = await gateway.send('POST', '/reply/7');
    assert.ok(answer.isComplete, answer.text);
    const ids = [...answer.text.matchAll(/^id: (\d+)$/gm)].map((found) => Number(found[1]));
    const last = servers.flatMap((server) => server.requests.slice(-1));
    assert.equal(ids, [1, 2, 3, 4, 5, 6]);
    assert.is(last.length, 2);
  });
});

// Guards against a stream that begins anew for a caller that has a part of it, because its last event cannot be read.
suite('a resumable stream with an unreadable last event is refused', async () => {
  const server = createServer(fakeBackendServer.stream(3));
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    for (const last of ['seven', '7x', '-1', '2, 3']) {
      const answer = await gateway.send('POST', '/reply/7', { 'last-event-id': last });
      assert.is(answer.status, 400, last);
    }
    assert.is(server.requests.length, 0);
    assert.is((await gateway.send('POST', '/reply/7', { 'last-event-id': '' })).status, 200);
    assert.is((await gateway.send('GET', '/balance/7', { 'last-event-id': 'x' })).status, 200);
  });
});

/** Guards against a grace time that is counted from the start of a daemon instead of the setting of the version. */
suite(
  'a daemon that starts late sends no requests to old weights after the grace time',
  async () => {
    const server = createServer(fakeBackendServer.answer('made with version 3'));
    const namedAt = Date.now() + 300 - builder.WEIGHTS_GRACE_MILLISECONDS;
    const desired = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk-model', 4, namedAt);
    const started = new builder.GatewayBuilder([server], builder.document(), desired);
    await started.run(async (gateway) => {
      await gateway.time.sleep(400);
      assert.is((await gateway.send('GET', '/balance/7')).status, 503);
      assert.is(server.requests.length, 0);
    });
  },
);

/** Guards against a timer that does not include a suspension, so that old weights stay in use after it. */
suite(
  'a daemon that was suspended sends no requests to old weights whose grace time ended meanwhile',
  async () => {
    const server = createServer(fakeBackendServer.answer('made with version 3'));
    const desired = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk-model', 4, Date.now());
    const time = new suspendableClock.SuspendableClock();
    const started = new builder.GatewayBuilder([server], builder.document(), desired, time);
    await started.run(async (gateway) => {
      assert.is((await gateway.send('GET', '/balance/7')).status, 200);
      time.suspend(builder.WEIGHTS_GRACE_MILLISECONDS);
      assert.is((await gateway.send('GET', '/balance/7')).status, 503);
      assert.is(server.requests.length, 1);
    });
  },
);

/** Guards against a stream that looks complete although its end is missing. */
suite('a broken stream that must not be repeated is cut off and not retried', async () => {
  const servers = createServers(fakeBackendServer.stream(3, 'id: 4\nda'));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const answer = await gateway.send('POST', '/report/7');
    assert.not(answer.isComplete);
    assert.not.match(answer.text, 'id: 4');
    assert.is(servers.flatMap((server) => server.requests).length, 1);
  });
});

/** Guards against a charge that runs twice, and against a wrong guarantee that it did not run. */
suite('a charge whose connection broke is not retried and not reported as not run', async () => {
  const servers = createServers(fakeBackendServer.hangUp);
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    assert.is((await gateway.send('POST', '/charge/7')).status, 502);
    assert.is(servers.flatMap((server) => server.requests).length, 1);
  });
});

suite('a charge that a server refused as not run is sent to another one', async () => {
  const first = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.refuse]);
  const second = new fakeBackendServer.FakeBackendServer('i-2', [fakeBackendServer.refuse]);
  await new builder.GatewayBuilder([first, second]).run(async (gateway) => {
    const answer = await gateway.send('POST', '/charge/7');
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(first.requests.length >= 1 && second.requests.length >= 1);
  });
});

suite('an answer of another request, or without a seal, is not delivered', async () => {
  const crossed = fakeBackendServer.answer('other', { 'x-figline-request-id': 'request-2' });
  const servers = createServers(crossed, fakeBackendServer.answer('own'));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const answer = await gateway.send('GET', '/balance/7');
    assert.is(answer.text, 'own');
  });
  const plain: fakeBackendServer.ServerBehaviour = (request, response) => {
    const id = request.headers['x-figline-request-id'];
    response.writeHead(200, { 'x-figline-request-id': id });
    response.end('unsealed');
  };
  await new builder.GatewayBuilder(createServers(plain)).run(async (gateway) => {
    const answer = await gateway.send('POST', '/charge/7');
    assert.is(answer.status, 502);
  });
});

suite('an error answer of the server is relayed with its status and seal', async () => {
  const failing: fakeBackendServer.ServerBehaviour = (request, response) => {
    response.writeHead(500, fakeBackendServer.sealed(request));
    response.end('fault');
  };
  await new builder.GatewayBuilder([createServer(failing)]).run(async (gateway) => {
    const answer = await gateway.send('POST', '/charge/7');
    assert.is(answer.status, 500);
    assert.is(answer.text, 'fault');
    assert.is(answer.headers['x-figline-response-seal'], 'seal');
  });
});

/** How a server ends an answer without a length. */
enum Ending {
  InOrder = 'in-order',
  /** The reset arrives together with the data. */
  ResetAtOnce = 'reset-at-once',
  ResetLater = 'reset-later',
}

function closeDelimited(ending: Ending): fakeBackendServer.ServerBehaviour {
  return (request, response) => {
    const socket = response.socket!;
    const id = request.headers['x-figline-request-id'];
    const head = `HTTP/1.1 200 OK\r\nx-figline-request-id: ${id}\r\nx-figline-response-seal: s`;
    const reset = () => socket.resetAndDestroy();
    socket.write(`${head}\r\n\r\nseven`, ending === Ending.ResetAtOnce ? reset : undefined);
    if (ending === Ending.InOrder) {
      socket.end(' sacks');
    } else if (ending === Ending.ResetLater) {
      setTimeout(reset, 20);
    }
  };
}

suite('an answer without a length whose connection is closed cleanly is complete', async () => {
  await new builder.GatewayBuilder([createServer(closeDelimited(Ending.InOrder))]).run(
    async (gateway) => {
      assert.is((await gateway.send('POST', '/charge/7')).text, 'seven sacks');
    },
  );
});

suite('an answer without a length whose connection is reset is not complete', async () => {
  for (const ending of [Ending.ResetAtOnce, Ending.ResetLater]) {
    await new builder.GatewayBuilder([createServer(closeDelimited(ending))]).run(
      async (gateway) => {
        assert.is((await gateway.send('POST', '/charge/7')).status, 502, ending);
      },
    );
  }
});

/** Guards against a partial answer that looks complete: when a process ends, its connections are closed cleanly. */
suite('an answer without a length is not complete if its server has ended', async () => {
  const server = createServer((request, response) => {
    const id = request.headers['x-figline-request-id'];
    const head = `HTTP/1.1 200 OK\r\nx-figline-request-id: ${id}\r\nx-figline-response-seal: s`;
    response.socket!.end(`${head}\r\n\r\nseven`);
    server.isDown = true;
  });
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    assert.is((await gateway.send('POST', '/charge/7')).status, 502);
  });
});

suite(
  'a request that runs out of time ends as may-have-run, one never sent as not run',
  async () => {
    await new builder.GatewayBuilder([createServer(() => {})]).run(async (gateway) => {
      const late = await gateway.send('POST', '/charge/7', { 'x-figline-deadline-ms': '150' });
      assert.is(late.status, 504);
    });
  },
);

suite('a request whose caller disconnects does not keep running at the server', async () => {
  let isClosed = false;
  const holding: fakeBackendServer.ServerBehaviour = (_request, response) => {
    response.on('close', () => {
      isClosed = true;
    });
  };
  const server = createServer(holding);
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    const abandoned = gateway.abandon('POST', '/reply/7', 100);
    await abandoned;
    for (let turn = 0; turn < 100 && !isClosed; turn += 1) {
      await gateway.time.sleep(5);
    }
    assert.ok(isClosed);
  });
});

/** Guards against logs that do not show whether a request on old weights was sent in time. */
suite(
  'the log of a dispatch shows how long ago the weights of the server were superseded',
  async () => {
    const server = createServer(fakeBackendServer.answer('made with version 3'));
    const desired = control.setDesiredWeights(
      control.EMPTY_REGISTER,
      'desk-model',
      4,
      Date.now() - 1_000,
    );
    const started = new builder.GatewayBuilder([server], builder.document(), desired);
    const lines = await capturedLog.linesOf('request dispatched', () =>
      started.run(async (gateway) => {
        await gateway.send('GET', '/balance/7');
      }),
    );
    assert.is(lines.length, 1);
    assert.is(lines[0].weightsVersion, '3');
    assert.ok(Number(lines[0].supersededMilliseconds) >= 1_000);
  },
);

/** Guards against logs that do not show since when a gateway knows the limit that a server has named. */
suite('the log shows when a server names a request limit, changes it and names none', async () => {
  const answer = (limit?: string) =>
    fakeBackendServer.answer('done', limit === undefined ? {} : { 'server-limit': limit });
  const server = createServer(...['1.2', '1.2', '40'].map(answer), answer());
  const lines = await capturedLog.linesOf('request limit of a server changed', () =>
    new builder.GatewayBuilder([server]).run(async (gateway) => {
      for (let turn = 0; turn < 4; turn += 1) {
        await gateway.send('GET', '/balance/7');
      }
    }),
  );
  assert.equal(
    lines.map(({ requestsPerSecond }) => requestsPerSecond),
    [1.2, 40, 'none'],
  );
});

/**
 * Guards against logs that do not tell requests that crash servers by a part of their prompt from their neighbours, or a run that
 * delivered from one that was silent.
 */
suite(
  'the log of a failed attempt names the shared prompt parts, the pieces received and the times',
  async () => {
    const server = createServer((_request, response) => response.destroy());
    const lines = await capturedLog.linesOf('attempt failed', () =>
      new builder.GatewayBuilder([server]).run(async (gateway) => {
        const headers = { 'x-figline-prompt-prefix': '5C1E07A2:800,91bd3f06:410,e4402b7d:250' };
        await gateway.send('POST', '/report/7', headers);
      }),
    );
    assert.is(lines.length, 1);
    assert.is(lines[0].sharedParts, '5c1e07a2,91bd3f06');
    assert.is(lines[0].pieces, 0);
    assert.type(lines[0].attemptMilliseconds, 'number');
    assert.type(lines[0].silentMilliseconds, 'number');
  },
);

/** Guards against a request that waits in an engine until its weights are too old and then begins. */
suite(
  'a stream that has not begun is cancelled when the weights of its server become too old',
  async () => {
    let isClosed = false;
    const server = createServer((_request, response) => {
      response.on('close', () => {
        isClosed = true;
      });
    });
    const desired = control.setDesiredWeights(control.EMPTY_REGISTER, 'desk-model', 4, Date.now());
    const time = new suspendableClock.SuspendableClock();
    const patient = builder.document(60_000);
    await new builder.GatewayBuilder([server], patient, desired, time).run(async (gateway) => {
      const headers = { 'x-figline-deadline-ms': '60000' };
      gateway.send('POST', '/reply/7', headers).catch(() => {});
      while (server.requests.length === 0) {
        await time.sleep(5);
      }
      time.suspend(builder.WEIGHTS_LIMIT_MILLISECONDS);
      for (let turn = 0; turn < 200 && !isClosed; turn += 1) {
        await time.sleep(5);
      }
      assert.ok(isClosed);
    });
  },
);

// Guards against work for callers who gave up while a busy gateway had not read their requests yet.
suite('a request whose caller has left before it was read reaches no server', async () => {
  const server = createServer(fakeBackendServer.answer('ok'));
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    await gateway.sendAndLeave('/balance/7');
    await gateway.time.sleep(200);
    assert.equal(server.requests, []);
    assert.is((await gateway.send('GET', '/balance/8')).status, 200);
  });
});

// Guards against engines that work on after the caller's deadline because its body took long to arrive.
suite('the time in which a body arrives is taken from the deadline', async () => {
  const server = createServer(fakeBackendServer.answer('ok'));
  const time = new forwardedClock.ForwardedClock();
  const gateway = new builder.GatewayBuilder([server], undefined, undefined, time);
  await gateway.run(async () => {
    await gateway.sendInParts('POST', '/charge/7', 'body', () => time.forward(600));
    const [{ headers }] = server.requests;
    const milliseconds = Number(headers['x-figline-deadline-ms']);
    assert.ok(milliseconds <= 1_400, `${milliseconds} ms`);
  });
});

suite.run();
