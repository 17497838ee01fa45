import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('pause that a server asks for with Retry-After');

const SPACING_MILLISECONDS = 25;
/** Time in which requests that were on their way may still arrive, as the platform allows it. */
const AGREEMENT_MILLISECONDS = 500;

/** A server that turns requests away while `pauseSeconds` is set, and the monotonic times at which requests arrived. */
class PausableServer extends fakeBackendServer.FakeBackendServer {
  readonly arrivals: number[] = [];

  readonly refusals: number[] = [];

  pauseSeconds: string | undefined;

  constructor(id: string, time: clock.Clock) {
    super(id, [
      (request, response) => {
        this.arrivals.push(time.monotonic());
        if (this.pauseSeconds === undefined) {
          fakeBackendServer.answer(id)(request, response);
          return;
        }
        this.refusals.push(time.monotonic());
        response.setHeader('retry-after', this.pauseSeconds);
        fakeBackendServer.refuse(request, response);
      },
    ]);
  }

  /** Requests that came between half a second after an answer with a pause and the end of that pause. */
  arrivalsInPause(pauseMilliseconds: number): number {
    return this.arrivals.filter((at) =>
      this.refusals.some(
        (refusedAt) =>
          at >= refusedAt + AGREEMENT_MILLISECONDS && at < refusedAt + pauseMilliseconds,
      ),
    ).length;
  }
}

const time = new clock.SystemClock();

function prompt(turn: number): Record<string, string> {
  return {
    'x-figline-request-id': `id-${turn}`,
    'x-figline-token-counts': '1400,10',
    'x-figline-prompt-prefix': `a${turn % 9}:1200,b${turn.toString(16)}:200`,
  };
}

// Guards against a gateway that asks a server again and again in the time for which that server wanted nothing.
suite('a server that pauses for 4 s gets no request of the gateway in that time', async () => {
  const pausing = new PausableServer('i-1', time);
  pausing.pauseSeconds = '4';
  const others = ['i-2', 'i-3'].map((id) => new PausableServer(id, time));
  await new builder.GatewayBuilder([pausing, ...others]).run(async (gateway) => {
    const answers: Promise<builder.Answer>[] = [];
    const start = time.monotonic();
    for (let turn = 0; time.monotonic() - start < 5_000; turn += 1) {
      answers.push(gateway.send('GET', '/balance/7', prompt(turn)));
      await time.sleep(SPACING_MILLISECONDS);
    }
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    assert.equal([...new Set(statuses)], [200]);
    assert.ok(pausing.refusals.length > 0, 'the server was never asked');
    assert.is(pausing.arrivalsInPause(4_000), 0);
    const again = pausing.arrivals.filter((at) => at >= pausing.refusals[0] + 4_000);
    assert.ok(again.length > 0, 'the server was not used again after its pause');
  });
});

// Guards against callers who wait for their deadline though no server takes a request before it.
suite('while all servers pause beyond the deadline, callers are told so at once', async () => {
  const servers = ['i-1', 'i-2'].map((id) => new PausableServer(id, time));
  servers.forEach((server) => Object.assign(server, { pauseSeconds: '3.5' }));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const first = await gateway.send('GET', '/balance/7', prompt(0));
    assert.is(first.status, 503);
    await time.sleep(AGREEMENT_MILLISECONDS);
    const arrived = servers.map(({ arrivals }) => arrivals.length);
    const start = time.monotonic();
    const second = await gateway.send('GET', '/balance/7', prompt(1));
    const waited = time.monotonic() - start;
    assert.is(second.status, 503);
    assert.ok(waited < 400, `answered after ${waited} ms`);
    const retryAfter = Number(second.headers['retry-after']) * 1_000;
    const left = 3_500 - AGREEMENT_MILLISECONDS;
    assert.ok(retryAfter > left - 1_000 && retryAfter <= left, `Retry-After ${retryAfter} ms`);
    assert.equal(
      servers.map(({ arrivals }) => arrivals.length),
      arrived,
    );
  });
});

// Guards against requests that are refused though they would be served in time after the pause.
suite('while all servers pause for a short time, requests wait and are served', async () => {
  const servers = ['i-1', 'i-2'].map((id) => new PausableServer(id, time));
  servers.forEach((server) => Object.assign(server, { pauseSeconds: '0.9' }));
  await new builder.GatewayBuilder(servers).run(async (gateway) => {
    const first = gateway.send('GET', '/balance/7', prompt(0));
    await time.sleep(200);
    const second = gateway.send('GET', '/balance/7', prompt(1));
    servers.forEach((server) => Object.assign(server, { pauseSeconds: undefined }));
    const answers = await Promise.all([first, second]);
    assert.equal(
      answers.map(({ status }) => status),
      [200, 200],
    );
    servers.forEach((server) => assert.is(server.arrivalsInPause(900), 0));
  });
});

suite.run();
