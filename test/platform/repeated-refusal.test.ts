import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as builder from './gateway-builder';
import * as rawServer from './raw-server';

const suite = uvu.suite('refusals that a faulty server writes once more');

// Guards against a charge that runs while its caller is told that it did not, or that runs twice.
suite('an earlier refusal of the same request does not count for its next attempt', async () => {
  const refusals = new Set<string>();
  const runs: string[] = [];
  const server = new rawServer.RawServer('i-1', ({ id, earlierOnConnection }) => {
    if (!refusals.has(id)) {
      refusals.add(id);
      return rawServer.refusal(id);
    }
    runs.push(id);
    // On a kept connection the earlier refusal comes again, before the answer.
    return earlierOnConnection > 0 ? rawServer.refusal(id) : rawServer.success(id);
  });
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    const answer = await gateway.send('POST', '/charge/7');
    assert.equal(runs, ['request-1']);
    assert.is(answer.status, 200);
  });
});

// Guards against a charge that is reported as not run because of a refusal that names no request.
suite('a refusal without an id on a kept connection is not taken for the answer', async () => {
  const runs: string[] = [];
  const server = new rawServer.RawServer('i-1', ({ id, earlierOnConnection }) => {
    runs.push(id);
    return earlierOnConnection > 0 ? rawServer.refusal() : rawServer.success(id);
  });
  await new builder.GatewayBuilder([server]).run(async (gateway) => {
    assert.is((await gateway.send('POST', '/charge/7')).status, 200);
    const second = await gateway.send('POST', '/charge/8', { 'x-figline-request-id': 'request-2' });
    assert.equal(runs, ['request-1', 'request-2']);
    assert.is(second.status, 502);
  });
});

// Guards against refusals of requests that a server has not read, which would otherwise look like a lost answer.
suite('a refusal without an id as the first answer of a connection is a refusal', async () => {
  const server = new rawServer.RawServer('i-1', () => rawServer.refusal());
  // Five attempts with pauses of 0.4 s end well before this deadline.
  await new builder.GatewayBuilder([server], builder.document(8_000)).run(async (gateway) => {
    const headers = { 'x-figline-deadline-ms': '8000' };
    assert.is((await gateway.send('POST', '/charge/7', headers)).status, 503);
  });
});

suite.run();
