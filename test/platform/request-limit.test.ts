import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('request limit of a server');

const PAUSE_MILLISECONDS = 30;
const REQUESTS = 100;
const REQUESTS_PER_SECOND = 1;

/** What a server gets beside its limit while gateways learn of it, as the platform allows it. */
const ALLOWANCE = 5;

/** Guards against a gateway that sends to a server in need as much as to the others. */
suite(
  'a server that names a limit gets no more than that, and its requests go elsewhere',
  async () => {
    const limited = new fakeBackendServer.FakeBackendServer('i-1', [
      fakeBackendServer.answer('limited', { 'server-limit': String(REQUESTS_PER_SECOND) }),
    ]);
    const other = new fakeBackendServer.FakeBackendServer('i-2', [
      fakeBackendServer.answer('free'),
    ]);
    await new builder.GatewayBuilder([limited, other]).run(async (gateway) => {
      const startedAt = gateway.time.monotonic();
      const answers: Promise<builder.Answer>[] = [];
      for (let turn = 0; turn < REQUESTS; turn += 1) {
        answers.push(gateway.send('GET', '/balance/7', { 'x-figline-request-id': `id-${turn}` }));
        await gateway.time.sleep(PAUSE_MILLISECONDS);
      }
      const statuses = (await Promise.all(answers)).map(({ status }) => status);
      assert.equal([...new Set(statuses)], [200]);
      const seconds = (gateway.time.monotonic() - startedAt) / 1_000;
      assert.ok(
        limited.requests.length <= 1.5 * seconds * REQUESTS_PER_SECOND + ALLOWANCE,
        `${limited.requests.length} requests in ${seconds} s`,
      );
    });
  },
);

suite.run();
