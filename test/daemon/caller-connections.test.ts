import type * as http from 'node:http';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clusterRun from '../support/cluster-run';
import * as loopbackListener from '../support/loopback-listener';

const suite = uvu.suite('connections of callers');

const GET = 'GET /desk HTTP/1.1\r\nhost: a\r\n\r\n';

const SLOW = 'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n';

const CHUNKED = 'POST /desk HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';

const BODY_BYTES = 1_024 * 1_024;

const LENGTH = `POST /desk HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

/** Shorter than the slow answer. */
const LIMITS = { headersMilliseconds: 200, requestMilliseconds: 400 };

/** Streams `/slow` for longer than the time limits; answers other requests at once. */
function answerSlowly(request: http.IncomingMessage, response: http.ServerResponse): void {
  if (request.url !== '/slow') {
    response.end('7 sacks');
    return;
  }
  response.write('begun,');
  setTimeout(() => response.end('ended'), 1_500);
}

async function withListener(
  options: Parameters<typeof loopbackListener.LoopbackListener.start>[1],
  run: (listener: loopbackListener.LoopbackListener) => Promise<void>,
): Promise<void> {
  const listener = await loopbackListener.LoopbackListener.start(answerSlowly, options);
  try {
    await run(listener);
  } finally {
    await listener.close();
  }
  await clusterRun.until(() => listener.account.total === 0);
}

// Guards against a time limit that runs while the gateway does not read, and cuts the answer that has begun.
suite('a body behind a begun answer is read when its turn comes, and cuts nothing', () =>
  withListener({ limits: LIMITS }, async (listener) => {
    const caller = listener.connect();
    caller.socket.write(SLOW + LENGTH + 'x'.repeat(BODY_BYTES));
    await clusterRun.until(() => listener.ran.length === 2 || caller.isClosed);
    assert.equal(listener.ran, ['GET /slow 0', `POST /desk ${BODY_BYTES}`]);
    await clusterRun.until(() => caller.answers(200) === 2 || caller.isClosed);
    assert.match(caller.received, /begun.*ended.*7 sacks/s);
  }),
);

// Guards against the same with heads, of which one is half parsed when the connection is paused.
suite('many requests behind a begun answer all run', () =>
  withListener({ limits: LIMITS }, async (listener) => {
    const caller = listener.connect();
    caller.socket.write(SLOW + GET.repeat(30) + GET.slice(0, 10));
    await clusterRun.pause(100);
    caller.socket.write(GET.slice(10) + GET.repeat(29));
    await clusterRun.until(() => caller.answers(200) === 61 || caller.isClosed);
    assert.is(caller.answers(200), 61);
    assert.is(listener.ran.length, 61);
  }),
);

// Guards against a head behind a begun answer that is never completed and keeps its connection for ever.
suite('a head that stays unfinished behind an answer is rejected after it', () =>
  withListener({ limits: LIMITS }, async (listener) => {
    const caller = listener.connect();
    caller.socket.write(SLOW + GET + GET.slice(0, -2));
    await clusterRun.until(() => caller.isClosed);
    assert.is(caller.answers(200), 2);
    assert.is(listener.ran.length, 2);
  }),
);

// Guards against chunks of waiting bodies, which Node.js keeps as objects, outside the account.
suite('of a body that waits behind an answer little is parsed, and all of it is counted', () =>
  withListener({}, async (listener) => {
    const callers = Array.from({ length: 20 }, () => listener.connect());
    callers.forEach(({ socket }) => socket.write(SLOW + CHUNKED + '1\r\nx\r\n'.repeat(20_000)));
    await clusterRun.until(() => listener.ran.length === 20);
    await clusterRun.pause(100);
    const each = listener.account.total / 20;
    assert.ok(each > 40_000 && each < 300_000, String(each));
    callers.forEach(({ socket }) => socket.write('0\r\n\r\n'));
    await clusterRun.until(() => callers.every((caller) => caller.answers(200) === 2));
  }),
);

// Guards against a begun answer that is cut because what its caller has sent ahead does not fit.
suite('what does not fit behind a begun answer is dropped, and the answer is completed', () =>
  withListener({ heldBytes: 200_000 }, async (listener) => {
    const callers = [listener.connect(), listener.connect()];
    callers.forEach(({ socket }) => socket.write(SLOW + GET.repeat(2_000)));
    await clusterRun.until(() => callers.every(({ isClosed }) => isClosed));
    callers.forEach(({ received }) => assert.match(received, /begun.*ended/s));
    assert.equal(listener.ran, ['GET /slow 0', 'GET /slow 0']);
  }),
);

// Guards against a begun answer that is cut by bytes that are no request.
suite('malformed bytes behind a begun answer close the connection after it', () =>
  withListener({}, async (listener) => {
    const caller = listener.connect();
    caller.socket.write(`${SLOW}NONSENSE\r\n\r\n`);
    await clusterRun.until(() => caller.isClosed);
    assert.match(caller.received, /begun.*ended/s);
    assert.not.match(caller.received, 'HTTP/1.1 400');
  }),
);

// Guards against a handler that runs after its caller was told that it never will.
suite('a request that was answered with 408 never runs, and its connection is closed', () =>
  withListener({ limits: LIMITS }, async (listener) => {
    const caller = listener.connect(true);
    caller.socket.write(LENGTH + 'x'.repeat(BODY_BYTES / 2));
    await clusterRun.until(() => caller.answers(408) === 1);
    caller.socket.write('x'.repeat(BODY_BYTES / 2) + GET);
    await clusterRun.until(async () => {
      caller.socket.write(GET);
      return caller.isClosed;
    });
    assert.equal(listener.ran, []);
    assert.is(caller.received.split('HTTP/1.1 ').length, 2);
  }),
);

// Guards against a crowd of unfinished bodies that takes all connections.
suite(
  'beyond the limit of connections the least progressed request is closed, never a complete one',
  () =>
    withListener({ connections: 3 }, async (listener) => {
      const [running, large, small] = [0, 1, 2].map(() => listener.connect());
      running.socket.write(SLOW);
      large.socket.write(LENGTH + 'x'.repeat(10_000));
      small.socket.write(`${LENGTH}x`);
      await clusterRun.pause(1_200);
      const late = listener.connect();
      late.socket.write(GET);
      await clusterRun.until(() => late.answers(200) === 1);
      assert.ok(small.isClosed);
      assert.not(large.isClosed);
      await clusterRun.until(() => running.answers(200) === 1);
      await clusterRun.until(() => running.received.includes('ended'));
    }),
);

// Guards against requests in one write, and bodies in small parts, that are reordered or lost between slices.
suite('requests in one write run in order with their whole bodies', () =>
  withListener({}, async (listener) => {
    const sizes = [0, 1, 700, 5_000, 70_000, 3, 200_000, 0];
    const caller = listener.connect();
    const text = sizes
      .map(
        (size) =>
          `POST /${size} HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`,
      )
      .join('');
    for (let offset = 0; offset < text.length; offset += 1_448) {
      caller.socket.write(text.slice(offset, offset + 1_448));
    }
    await clusterRun.until(() => caller.answers(200) === sizes.length || caller.isClosed);
    assert.equal(
      listener.ran,
      sizes.map((size) => `POST /${size} ${size}`),
    );
  }),
);

suite.run();
