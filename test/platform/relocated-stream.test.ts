import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as http from 'node:http';
import * as clock from '../../src/clock';
import * as builder from './gateway-builder';
import * as fakeServer from './fake-backend-server';

const suite = uvu.suite('streams that are offered to another server');

const time = new clock.SystemClock();

/** Shorter than the time after which an offer is late. */
const EVENT_MILLISECONDS = 20;

/** A stream whose events come one by one until the server has been told to end it. */
class PacedStream {
  isEnding = false;

  written = 0;

  isCutByCaller = false;

  /** Set to reset the connection before the next event. */
  breaksOff = false;

  onBroken: (() => void) | undefined;

  /** Set to end the connection in the middle of the next event. */
  isEndingInside = false;

  constructor(private readonly tokensOfEvent = 1) {}

  readonly behaviour: fakeServer.ServerBehaviour = (request, response) => {
    this.written = Number(request.headers['last-event-id'] ?? 0);
    const headers = { ...fakeServer.sealed(request), 'content-type': 'text/event-stream' };
    response.writeHead(200, headers);
    response.once('close', () => {
      this.isCutByCaller = !response.writableFinished;
    });
    this.writeNext(response);
  };

  private async writeNext(response: http.ServerResponse): Promise<void> {
    while (!response.destroyed) {
      if (this.breaksOff) {
        response.socket?.resetAndDestroy();
        setTimeout(() => this.onBroken?.(), EVENT_MILLISECONDS);
        return;
      }
      if (this.isEndingInside) {
        response.write('id: 9');
        response.end();
        return;
      }
      this.written += this.tokensOfEvent;
      response.write(eventOf(this.written, this.tokensOfEvent));
      if (this.isEnding && this.written >= MINIMUM_EVENTS) {
        response.end();
        return;
      }
      await time.sleep(EVENT_MILLISECONDS);
    }
  }
}

const MINIMUM_EVENTS = 5;

/** An event with the given number of tokens, the last of which has the number `id`. */
function eventOf(id: number, tokens = 1): string {
  const pieces = Array.from({ length: tokens }, (_, index) => `piece ${id - tokens + index + 1}`);
  return `id: ${id}\ndata: ${pieces.join(' ')}\n\n`;
}

function tokensIn(text: string): readonly number[] {
  return [...text.matchAll(/piece (\d+)/g)].map(([, token]) => Number(token));
}

/** The text of a complete stream whose last event has the given id. */
function textOf(last: number): string {
  return Array.from({ length: last }, (_, index) => eventOf(index + 1)).join('');
}

/** Starts a stream at the first server, which then loads weights, so that the stream is offered to the second one. */
async function offerStream(
  first: PacedStream,
  second: fakeServer.ServerBehaviour,
  change: (server: fakeServer.FakeBackendServer) => void = () => {},
): Promise<builder.Answer> {
  const servers = [
    new fakeServer.FakeBackendServer('i-1', [first.behaviour]),
    new fakeServer.FakeBackendServer('i-2', [second]),
  ];
  change(servers[1]);
  const gateway = new builder.GatewayBuilder(servers, builder.document(20_000));
  gateway.loadingServer = 'i-2';
  let answer: Promise<builder.Answer> | undefined;
  await gateway.run(async () => {
    answer = gateway.send('POST', '/reply/', { 'x-figline-deadline-ms': '20000' });
    while (first.written === 0) {
      await time.sleep(5);
    }
    gateway.loadingServer = 'i-1';
    await answer;
  });
  return answer!;
}

// Guards against a stream that is cut because its run was given up before the next server refused it.
suite('a stream runs on at its server when the server that is offered it refuses', async () => {
  const first = new PacedStream();
  const { text, isComplete } = await offerStream(first, (request, response) => {
    fakeServer.refuse(request, response);
    first.isEnding = true;
  });
  assert.ok(isComplete);
  assert.is(text, textOf(first.written));
  assert.not.ok(first.isCutByCaller, 'its run was given up');
});

// Guards against a pause of seconds, and against a run that is given up for a server that never begins.
suite('a stream runs on at its server when the server that is offered it is late', async () => {
  const first = new PacedStream();
  const { text, isComplete } = await offerStream(first, (_request, response) => {
    response.once('close', () => {
      first.isEnding = true;
    });
  });
  assert.ok(isComplete);
  assert.is(text, textOf(first.written));
  assert.not.ok(first.isCutByCaller, 'its run was given up');
});

// Guards against events that are lost, or come twice, where a stream moves from one run to another.
suite('a stream goes on at the server that takes it, with each event once', async () => {
  const first = new PacedStream();
  let last = 0;
  let reservation: unknown;
  const { text, isComplete } = await offerStream(first, (request, response) => {
    last = Number(request.headers['last-event-id']) + 3;
    reservation = request.headers['x-figline-hold'];
    fakeServer.stream(last)(request, response);
  });
  assert.ok(isComplete);
  assert.is(text, textOf(last));
  assert.is(reservation, 'hold-1');
  assert.ok(first.isCutByCaller, 'the run at the first server is stopped');
});

/** Goes on behind the last delivered token, with other numbers of tokens in its events than the first run. */
function goOnInFives(request: fakeServer.ReceivedRequest, response: http.ServerResponse): number {
  const delivered = Number(request.headers['last-event-id']);
  const headers = { ...fakeServer.sealed(request), 'content-type': 'text/event-stream' };
  response.writeHead(200, headers);
  response.end([5, 10, 15].map((tokens) => eventOf(delivered + tokens, 5)).join(''));
  return delivered + 15;
}

function assertEachTokenOnce({ text, isComplete }: builder.Answer, last: number): void {
  assert.ok(isComplete);
  assert.equal(
    tokensIn(text),
    Array.from({ length: last }, (_, index) => index + 1),
  );
}

// Guards against tokens that come twice, or never, because two runs put other numbers of tokens into their events.
suite('a stream goes on behind its last token although events hold several', async () => {
  let last = 0;
  const answer = await offerStream(new PacedStream(2), async (request, response) => {
    // The first run goes on meanwhile.
    await time.sleep(3 * EVENT_MILLISECONDS);
    last = goOnInFives(request, response);
  });
  assertEachTokenOnce(answer, last);
});

// Guards against tokens that come twice behind an event that was broken off while another server was asked.
suite('a stream goes on elsewhere when its run ends inside an event while it is held', async () => {
  const first = new PacedStream(2);
  let last = 0;
  const answer = await offerStream(first, async (request, response) => {
    await time.sleep(2 * EVENT_MILLISECONDS);
    first.isEndingInside = true;
    await time.sleep(2 * EVENT_MILLISECONDS);
    last = goOnInFives(request, response);
  });
  assertEachTokenOnce(answer, last);
});

// Guards against callers who wait for a server that has no room.
suite('a stream is not sent to a server that reserves no room for it', async () => {
  const first = new PacedStream();
  let server: fakeServer.FakeBackendServer | undefined;
  const { text, isComplete } = await offerStream(first, fakeServer.refuse, (second) => {
    server = second;
    Object.defineProperty(second, 'hasRoom', {
      get: () => {
        first.isEnding = true;
        return false;
      },
    });
  });
  assert.ok(isComplete);
  assert.is(text, textOf(first.written));
  assert.equal(server!.requests, []);
});

// Guards against a stream that has come to its end while it was offered, and is then cut or written twice.
suite('a stream that ends while another server is asked is complete', async () => {
  const first = new PacedStream();
  const { text, isComplete } = await offerStream(first, () => {
    first.isEnding = true;
  });
  assert.ok(isComplete);
  assert.is(text, textOf(first.written));
});

// Guards against events that are kept back although their server has failed meanwhile.
suite('a stream goes on at the server that is asked when its own one fails', async () => {
  const first = new PacedStream();
  let last = 0;
  const { text, isComplete } = await offerStream(first, (request, response) => {
    last = Number(request.headers['last-event-id']) + 3;
    const goOn = () => fakeServer.stream(last)(request, response);
    if (first.breaksOff) {
      goOn();
    } else {
      first.breaksOff = true;
      first.onBroken = goOn;
    }
  });
  assert.ok(isComplete);
  assert.is(text, textOf(last));
});

suite.run();
