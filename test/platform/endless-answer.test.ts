import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as flood from '../support/flood';
import * as floodServer from '../support/flood-server';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('answers without end on the platform');

/** Bytes that the kernels of both sides buffer on one connection, plus the largest allowed answer. */
const MAXIMUM_TAKEN_BYTES = 40 * 1_024 * 1_024;

/** Several are needed, because some of them are sent to the sound server first. */
const MAXIMUM_REQUESTS = 24;

function faulty(given: flood.Flood): floodServer.FloodServer {
  return new floodServer.FloodServer('i-1', given, floodServer.reports);
}

/** A deadline that ends no request of a test, so that only the limits on bytes can. */
const PATIENT = { 'x-figline-deadline-ms': '20000' };

function patientGateway(servers: readonly builder.TestServer[]): builder.GatewayBuilder {
  const content = builder.document() as { routes: object[] };
  const routes = content.routes.map((route) => ({ ...route, timeout_ms: 20_000 }));
  return new builder.GatewayBuilder(servers, { ...content, routes });
}

/** Waits until all flooding connections are closed; the limit only ends a test that fails anyway. */
async function closed(gateway: builder.GatewayBuilder, server: floodServer.FloodServer) {
  for (let turn = 0; turn < 200 && server.closedFloods < server.requests; turn += 1) {
    await gateway.time.sleep(5);
  }
  assert.is(server.closedFloods, server.requests, 'a flood was not ended');
}

/** Sends requests until the faulty server has received one; the other server must answer all of them. */
async function sendUntilFlooded(
  gateway: builder.GatewayBuilder,
  server: floodServer.FloodServer,
  path: string,
): Promise<readonly builder.Answer[]> {
  const answers: builder.Answer[] = [];
  for (let turn = 0; turn < MAXIMUM_REQUESTS && server.requests === 0; turn += 1) {
    answers.push(await gateway.send('POST', path, PATIENT, `body ${turn}`));
  }
  assert.ok(server.requests > 0, 'the faulty server got no request');
  return answers;
}

// Guards against a request that waits until its deadline while malformed bytes arrive.
Object.entries({ ...flood.HEAD_FLOODS, ...flood.TRAILER_FLOODS }).forEach(([name, given]) => {
  suite(`a charge is answered as may-have-run at once after ${name} without end`, async () => {
    const server = faulty(given);
    await patientGateway([server]).run(async (gateway) => {
      const answer = await gateway.send('POST', '/charge/7', PATIENT);
      assert.is(answer.status, 502, answer.text);
      assert.is(JSON.parse(answer.text).error.code, 'backend_error');
      await closed(gateway, server);
      assert.is(server.requests, 1);
      assert.ok(server.mostBytes < MAXIMUM_TAKEN_BYTES, `${server.mostBytes} bytes`);
    });
  });

  suite(`a look-up is answered by another server after ${name} without end`, async () => {
    const server = faulty(given);
    const sound = new fakeBackendServer.FakeBackendServer('i-2', [fakeBackendServer.answer('own')]);
    await patientGateway([server, sound]).run(async (gateway) => {
      const answers = await sendUntilFlooded(gateway, server, '/balance/7');
      answers.forEach((answer) => assert.is(answer.text, 'own'));
      await closed(gateway, server);
    });
  });

  suite(`a slow drip of ${name} ends with the caller's time`, async () => {
    const server = faulty(flood.slowly(given));
    await new builder.GatewayBuilder([server]).run(async (gateway) => {
      const answer = await gateway.send('POST', '/charge/7', { 'x-figline-deadline-ms': '300' });
      assert.ok([502, 504].includes(answer.status), answer.text);
      await closed(gateway, server);
    });
  });
});

// Guards against a body that fills the memory, and against a part of it that looks complete.
Object.entries(flood.BODY_FLOODS).forEach(([name, given]) => {
  suite(`${name} without end is cut off and never looks complete`, async () => {
    const server = faulty(given);
    await patientGateway([server]).run(async (gateway) => {
      const answer = await gateway.send('POST', '/charge/7', PATIENT);
      assert.ok(!answer.isComplete || answer.status === 502, String(answer.status));
      await closed(gateway, server);
      assert.ok(server.mostBytes < MAXIMUM_TAKEN_BYTES, `${server.mostBytes} bytes`);
    });
  });

  suite(`a slow drip of ${name} ends with the caller's time`, async () => {
    const server = faulty(flood.slowly(given));
    await new builder.GatewayBuilder([server]).run(async (gateway) => {
      const answer = await gateway.send('POST', '/charge/7', { 'x-figline-deadline-ms': '300' });
      assert.ok(!answer.isComplete || answer.status === 504, String(answer.status));
      await closed(gateway, server);
    });
  });
});

// Guards against a stream that is kept open by bytes that contain no event.
Object.entries(flood.EVENT_FLOODS).forEach(([name, given]) => {
  suite(`a stream that must not be repeated is cut off after ${name} without end`, async () => {
    const server = faulty(given);
    await patientGateway([server]).run(async (gateway) => {
      const answer = await gateway.send('POST', '/report/7', PATIENT);
      assert.ok(!answer.isComplete || answer.status === 502, 'the stream looks complete');
      const delivered = [...answer.text.matchAll(/^id: 1$/gm)].length;
      assert.is(delivered, given.start.includes('piece 1') ? 1 : 0);
      await closed(gateway, server);
      assert.ok(server.mostBytes < MAXIMUM_TAKEN_BYTES, `${server.mostBytes} bytes`);
    });
  });

  suite(`a resumable stream is resumed at another server after ${name} without end`, async () => {
    const server = faulty(given);
    const sound = new fakeBackendServer.FakeBackendServer('i-2', [fakeBackendServer.stream(3)]);
    await patientGateway([server, sound]).run(async (gateway) => {
      const answers = await sendUntilFlooded(gateway, server, '/reply/7');
      answers.forEach((answer) => {
        assert.ok(answer.isComplete, answer.text.slice(-100));
        const ids = [...answer.text.matchAll(/^id: (\d+)$/gm)].map((found) => Number(found[1]));
        assert.equal(ids, [1, 2, 3]);
      });
      await closed(gateway, server);
    });
  });
});

// Guards against a pooled connection that receives bytes for ever, and against treating them as an answer.
Object.entries(flood.EXTRA_FLOODS).forEach(([name, given]) => {
  suite(`a complete answer is delivered, and its connection is closed after ${name}`, async () => {
    const server = faulty(given);
    await new builder.GatewayBuilder([server]).run(async (gateway) => {
      for (let turn = 1; turn <= 3; turn += 1) {
        const answer = await gateway.send('POST', '/charge/7', {}, `body ${turn}`);
        assert.is(answer.text, 'sacks');
        await closed(gateway, server);
      }
      assert.ok(server.mostBytes < MAXIMUM_TAKEN_BYTES, `${server.mostBytes} bytes`);
    });
  });

  suite(`an idle connection is closed after a slow drip of ${name}`, async () => {
    const server = faulty(flood.slowly(given));
    await new builder.GatewayBuilder([server]).run(async (gateway) => {
      assert.is((await gateway.send('POST', '/charge/7')).text, 'sacks');
      await closed(gateway, server);
    });
  });
});

// Guards against requests at other servers that wait or fail while one server floods its connections.
suite('requests at a sound server are answered while another one floods', async () => {
  const server = faulty(flood.EVENT_FLOODS['an event']);
  const sound = new fakeBackendServer.FakeBackendServer('i-2', [fakeBackendServer.answer('own')]);
  await new builder.GatewayBuilder([server, sound]).run(async (gateway) => {
    const sends = Array.from({ length: 20 }, (_, turn) =>
      gateway.send('POST', turn % 2 === 0 ? '/report/7' : '/balance/7', {}, `body ${turn}`),
    );
    const answers = await Promise.all(sends);
    const lookUps = answers.filter((_, turn) => turn % 2 === 1);
    lookUps.forEach((answer) => assert.is(answer.text, 'own'));
    await closed(gateway, server);
  });
});

// Guards against a server that sends malformed answers quickly, therefore looks idle, and attracts more requests.
suite('a server that floods its answers gets few requests', async () => {
  const server = faulty(flood.HEAD_FLOODS['bytes that are not HTTP']);
  const sound = new fakeBackendServer.FakeBackendServer('i-2', [fakeBackendServer.answer('own')]);
  await new builder.GatewayBuilder([server, sound]).run(async (gateway) => {
    for (let turn = 0; turn < 60; turn += 1) {
      const answer = await gateway.send('POST', '/balance/7', {}, `body ${turn}`);
      assert.is(answer.text, 'own', `look-up ${turn}`);
    }
    assert.ok(server.requests > 0 && server.requests <= 6, `${server.requests} requests`);
  });
});

// Guards against a valid request that is quarantined for minutes because its servers send malformed answers.
suite(
  'a request at servers that answer probes with malformed bytes is not quarantined',
  async () => {
    const given = flood.HEAD_FLOODS['interim answers'];
    const faultyServers = ['i-1', 'i-2'].map((id) => new floodServer.FloodServer(id, given));
    const sound = new fakeBackendServer.FakeBackendServer('i-3', [fakeBackendServer.answer('own')]);
    await new builder.GatewayBuilder([...faultyServers, sound]).run(async (gateway) => {
      // The two attempts of one look-up may both reach a faulty server.
      const firstSound = 10;
      for (let turn = 0; turn < 2 * firstSound; turn += 1) {
        const answer = await gateway.send('POST', '/balance/7', {}, 'one body');
        assert.not.match(answer.text, 'quarantined', `look-up ${turn}`);
        assert.ok(turn < firstSound || answer.text === 'own', `look-up ${turn}: ${answer.text}`);
        await gateway.time.sleep(50);
      }
    });
  },
);

const PART = 'sacks and sacks\n'.repeat(4_096);

// Guards against a large answer that is lost or cut off because its caller reads slowly.
suite('an answer of several MiB reaches a slow caller complete', async () => {
  const parts = 128;
  const large: fakeBackendServer.ServerBehaviour = (request, response) => {
    response.writeHead(200, fakeBackendServer.sealed(request));
    Array.from({ length: parts }).forEach(() => response.write(PART));
    response.end();
  };
  const server = new fakeBackendServer.FakeBackendServer('i-1', [large]);
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    const received = await gateway.receive('/charge/7', async (response) => {
      let bytes = 0;
      for await (const chunk of response as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        await gateway.time.sleep(1);
      }
      return bytes;
    });
    assert.is(received, parts * PART.length);
  });
});

// Guards against a partial answer that looks complete, and against a retry after the caller has received a part.
suite('a large answer that breaks is cut off and not retried', async () => {
  const broken: fakeBackendServer.ServerBehaviour = (request, response) => {
    const head = { ...fakeBackendServer.sealed(request), 'content-length': 64 * PART.length };
    response.writeHead(200, head);
    Array.from({ length: 32 }).forEach(() => response.write(PART));
    response.write(PART, () => response.destroy());
  };
  const servers = ['i-1', 'i-2'].map((id) => new fakeBackendServer.FakeBackendServer(id, [broken]));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const answer = await gateway.send('POST', '/balance/7');
    assert.not(answer.isComplete);
    assert.is(servers.flatMap((server) => server.requests).length, 1);
  });
});

suite.run();
