import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as verdict from '../../src/verdict';
import * as clusterRun from '../support/cluster-run';
import * as daemonBuilder from '../support/daemon-builder';
import * as routingBuilder from '../support/routing-builder';

const suite = uvu.suite('caller HTTP');
const { FailureReason, Verdict } = verdict;

const SILENT = verdict.failure(FailureReason.Timeout, Verdict.MayHaveRun, 'Silent.');

/** Longest wait for the daemon to close a connection, so that a test fails instead of hanging. */
const ANSWER_MILLISECONDS = 5_000;

/** Sends raw bytes and returns what comes back until the daemon closes the connection. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (part) => {
      received += part;
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    socket.setTimeout(ANSWER_MILLISECONDS, () => socket.destroy());
  });
}

suite('a streamed answer has every piece in order and its end', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const answer = await builder.chat(true);
    const words = [...answer.text.matchAll(/"word":(\d)/g)].map((match) => Number(match[1]));
    assert.equal(words, [0, 1, 2, 3]);
    assert.ok(answer.text.endsWith('data: [DONE]\n\n'));
    assert.is(answer.headers['x-figline-revision'], '1');
    assert.is(answer.headers['x-request-id'], builder.engine.requests[0].requestId);
  });
});

suite('a whole answer has the text of every piece', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const answer = await builder.chat(false);
    const { choices } = JSON.parse(answer.text);
    assert.is(choices[0].message.content, 'word 0 word 1 word 2 word 3 ');
    assert.is(answer.headers['x-figline-verdict'], 'ran');
  });
});

suite('a stream that cannot be completed ends with an error event, not with an end', async () => {
  const breaks = Array.from({ length: 40 }, () => ({ pieces: [], breaksWith: SILENT }));
  const builder = new daemonBuilder.DaemonBuilder({ pieces: [0], breaksWith: SILENT }, ...breaks);
  await builder.run(async () => {
    const answer = await builder.chat(true);
    assert.not.match(answer.text, 'DONE');
    assert.match(answer.text, /event: error\ndata: {"error":{.*"verdict":"may-have-run"}}\n\n$/);
  });
});

suite('a failure before the first piece has a status and the verdict', async () => {
  const breaks = Array.from({ length: 40 }, () => ({ pieces: [], breaksWith: SILENT }));
  const builder = new daemonBuilder.DaemonBuilder(...breaks);
  builder.limits = { ...builder.limits, commentMilliseconds: 5_000 };
  await builder.run(async () => {
    const answer = await builder.chat(true);
    assert.is(answer.status, 504);
    assert.is(answer.headers['x-figline-verdict'], 'may-have-run');
    const { error } = JSON.parse(answer.text);
    assert.equal(Object.keys(error), ['message', 'type', 'code', 'param', 'verdict']);
  });
});

suite('the team comes from the credential only, never from a header', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const headers = { authorization: 'Bearer unknown', 'x-figline-team': 'market-roasters' };
    const refused = await builder.request('GET', '/v1/models', '', headers);
    assert.is(refused.status, 401);
    await builder.request('GET', '/ledger/balance', '', { 'x-figline-team': 'another-team' });
    const [sent] = builder.service.requests;
    assert.is(sent.headers['x-figline-team'], 'market-roasters');
    assert.is(sent.headers.authorization, undefined);
  });
});

// Guards against "unknown" from a daemon that was out of touch while it was added elsewhere.
suite(
  'a daemon whose configuration may be outdated refuses what it does not know as not run',
  async () => {
    const builder = new daemonBuilder.DaemonBuilder();
    await builder.run(async () => {
      const ask = async () => [
        await builder.request('GET', '/v1/models', '', { authorization: 'Bearer unknown' }),
        await builder.request('DELETE', '/ledger/balance'),
      ];
      assert.equal(
        (await ask()).map(({ status }) => status),
        [401, 404],
      );
      builder.plane.copyAge = 5_001;
      (await ask()).forEach(({ status, headers }) => {
        assert.equal([status, headers['x-figline-verdict']], [503, 'not-run']);
        assert.ok(Number(headers['retry-after']) > 0);
      });
      assert.is((await builder.request('GET', '/ledger/balance')).status, 201);
    });
  },
);

suite('models lists the intents of the team', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const { data } = JSON.parse((await builder.request('GET', '/v1/models')).text);
    assert.equal(
      data.map((model: { id: string }) => model.id),
      ['history-reading'],
    );
  });
});

suite('a plain answer passes unchanged with its verdict', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const answer = await builder.request('GET', '/ledger/balance?stall=7');
    assert.equal([answer.status, answer.text], [201, 'execution 1']);
    assert.is(answer.headers['x-figline-verdict'], 'ran');
    assert.is(builder.service.requests[0].path, '/ledger/balance?stall=7');
    assert.is((await builder.request('DELETE', '/ledger/balance')).status, 404);
  });
});

// Guards against a body that is dropped because of the method of its request.
suite('a plain service gets the body and the content type of a GET request', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const headers = { 'content-type': 'text/plain', 'content-length': '5' };
    const answer = await builder.request('GET', '/ledger/balance', 'sacks', headers);
    assert.is(answer.status, 201);
    const [sent] = builder.service.requests;
    assert.is(Buffer.from(sent.body).toString(), 'sacks');
    assert.is(sent.headers['content-type'], 'text/plain');
  });
});

suite('oversized, malformed and slow requests are rejected as not run', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  builder.limits = { ...builder.limits, headersMilliseconds: 100, requestMilliseconds: 200 };
  await builder.run(async () => {
    const port = builder.running.callerPort;
    const oversized = await builder.request('POST', '/v1/completions', 'x'.repeat(5_000));
    assert.is(oversized.status, 413);
    assert.is(oversized.headers['x-figline-verdict'], 'not-run');
    assert.is(oversized.headers['x-figline-revision'], '1');
    assert.is((await builder.request('POST', '/v1/completions', '{')).status, 400);
    assert.match(await sendRaw(port, 'NONSENSE\r\n\r\n'), /^HTTP\/1.1 400 .*not-run/s);
    assert.match(await sendRaw(port, 'GET / HTTP/1.1\r\nHost:'), /^HTTP\/1.1 408 .*not-run/s);
    const credential = `Authorization: Bearer ${routingBuilder.TEAM_CREDENTIAL}`;
    const slowBody = `POST /v1/completions HTTP/1.1\r\nHost: a\r\n${credential}\r\nContent-Length: 9\r\n\r\n{`;
    assert.match(await sendRaw(port, slowBody), /^HTTP\/1.1 408 .*not-run/s);
  });
});

suite(
  'an unknown credential is rejected after the headers, before the body has arrived',
  async () => {
    // Guards against callers without a credential that occupy connections with bodies they never finish.
    const builder = new daemonBuilder.DaemonBuilder();
    await builder.run(async () => {
      const head = [
        'POST /v1/chat/completions HTTP/1.1',
        'host: x',
        'authorization: Bearer unknown',
        'content-length: 1000',
      ];
      const answer = await sendRaw(builder.running.callerPort, `${head.join('\r\n')}\r\n\r\n{`);
      assert.match(answer, /^HTTP\/1.1 401 /);
      assert.match(answer, /connection: close/i);
    });
  },
);

suite('the total size of the bodies that are being received is limited', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  builder.limits = { ...builder.limits, concurrentBodyBytes: 1_500 };
  await builder.run(async () => {
    const head = [
      'POST /v1/chat/completions HTTP/1.1',
      'host: x',
      `authorization: Bearer ${routingBuilder.TEAM_CREDENTIAL}`,
      'content-length: 1000',
    ].join('\r\n');
    const held = net.connect(builder.running.callerPort, '127.0.0.1');
    await new Promise<void>((resolve) => {
      held.write(`${head}\r\n\r\n{`, () => resolve());
    });
    await clusterRun.pause(50);
    const refused = await sendRaw(builder.running.callerPort, `${head}\r\n\r\n{`);
    assert.match(refused, /^HTTP\/1.1 429 |^HTTP\/1.1 503 /);
    assert.match(refused, /x-figline-verdict: not-run/);
    held.destroy();
    await clusterRun.until(async () => (await builder.chat(false)).status === 200);
  });
});

suite('comment lines keep a silent stream alive', async () => {
  const builder = new daemonBuilder.DaemonBuilder({ delayMilliseconds: 130 });
  await builder.run(async () => {
    const answer = await builder.chat(true);
    assert.match(answer.text, /^: waiting\n\n/);
    assert.ok(answer.text.endsWith('data: [DONE]\n\n'));
  });
});

suite(
  'the connection of a caller that reads nothing is closed and the engine is freed',
  async () => {
    const pieceLength = 4 * 1_024 * 1_024;
    const builder = new daemonBuilder.DaemonBuilder({ pieceLength });
    builder.limits = { ...builder.limits, writeTimeoutMilliseconds: 100 };
    await builder.run(async () => {
      const messages = [{ role: 'user', content: 'Sack 7?' }];
      const body = JSON.stringify({ model: 'history-reading', stream: true, messages });
      const socket = net.connect(builder.running.callerPort, '127.0.0.1');
      socket.on('error', () => {});
      socket.pause();
      socket.write(
        `POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ` +
          `market-roasters-credential\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      for (let wait = 0; wait < 100 && builder.engine.stream?.isCancelled !== true; wait += 1) {
        await new Promise((resolve) => {
          setTimeout(resolve, 20);
        });
      }
      assert.ok(builder.engine.stream?.isCancelled);
      socket.destroy();
    });
  },
);

suite(
  'a graceful stop fails readiness first, finishes streams, rejects new requests as not run',
  async () => {
    const builder = new daemonBuilder.DaemonBuilder({ delayMilliseconds: 60 });
    await builder.run(async () => {
      assert.is((await builder.request('GET', '/readyz')).status, 200);
      const streaming = builder.chat(true);
      await new Promise((resolve) => {
        setTimeout(resolve, 30);
      });
      const stopping = builder.running.stop();
      assert.is((await builder.request('GET', '/readyz')).status, 503);
      await new Promise((resolve) => {
        setTimeout(resolve, 80);
      });
      const refused = await builder.chat(true);
      assert.equal([refused.status, refused.headers['x-figline-verdict']], [503, 'not-run']);
      assert.ok((await streaming).text.endsWith('data: [DONE]\n\n'));
      await stopping;
    });
  },
);

suite(
  'a stop whose grace time is over sends an error event to the callers that it interrupts',
  async () => {
    const builder = new daemonBuilder.DaemonBuilder({ delayMilliseconds: 1_500 });
    builder.graceMilliseconds = 100;
    await builder.run(async () => {
      const streaming = builder.chat(true);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      await builder.running.stop();
      assert.match((await streaming).text, /event: error\ndata: {"error":.*shutting_down/);
    });
  },
);

suite.run();
