import * as http from 'node:http';
import type * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';

const suite = uvu.suite('odd reports of servers');

/** The outcome of a probe of an engine that answers with `report`. */
async function probe(report: string, models: readonly string[] = ['m']) {
  const server = http.createServer((_request, response) => response.end(report));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const machine: backend.MachineRecord = {
    id: 'i-1',
    host: '127.0.0.1',
    port: (server.address() as net.AddressInfo).port,
    zone: 'pl-caudan',
    region: 'port-louis',
    service: 'desk',
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
    incarnation: 'i-1@17',
  };
  const issuer = { holder: 'test', modelOf: () => models[0], healthPathOf: () => '/health' };
  const codec = new platformHeaderCodec.PlatformHeaderCodec();
  const client = new serverClient.PlatformServer(machine, issuer, codec, new clock.SystemClock());
  const outcome = await client.probe();
  await client.close();
  server.closeAllConnections();
  server.close();
  return outcome;
}

const NESTED = '['.repeat(100_000) + ']'.repeat(100_000);

const ODD_REPORTS = {
  'deep nesting': NESTED,
  'deep nesting in its models': `{"models":${NESTED}}`,
  'an infinite count of orders': '{"seq":1e400}',
  'a count of orders beyond 2^53': '{"seq":9007199254740993}',
  'an infinite start': '{"born":1e400}',
  'a huge weights version': '{"models":[{"name":"m","version":1e308}]}',
  'no value': 'null',
};

// Guards against a report that throws in the probe that reads it.
Object.entries(ODD_REPORTS).forEach(([name, report]) => {
  suite(`a report with ${name} is a failed probe`, async () => {
    assert.ok((await probe(report)).err);
  });
});

suite('deep nesting in a field that is not read does no harm', async () => {
  assert.ok((await probe(`{"unread":${NESTED}}`)).ok);
});

// Guards against a report whose errors alone would fill the memory of a small VM.
suite('the models of a report are not examined after the first invalid one', async () => {
  const before = process.memoryUsage().heapTotal;
  const outcome = await probe(`{"models":[${Array(120_000).fill('0').join(',')}]}`);
  const grown = process.memoryUsage().heapTotal - before;
  assert.ok(outcome.err);
  assert.ok(grown < 32 * 1_024 * 1_024, `${grown} bytes`);
});

// Guards against an engine of unknown weights whose version counts as known, and against that of another model.
suite("a report tells the weights version of the service's model, or none", async () => {
  const versionIn = async (report: string) => (await probe(report)).unwrap().weightsVersion;
  assert.is(await versionIn('{"models":[{"name":"m","version":4}]}'), '4');
  assert.is(await versionIn('{"models":[{"name":"n","version":9},{"name":"m","version":4}]}'), '4');
  assert.is(await versionIn('{"models":[{"name":"n","version":9}]}'), undefined);
  assert.is(await versionIn('{"models":[]}'), undefined);
  assert.is(await versionIn('{}'), undefined);
});

// Guards against an order that is repeated while the first is carried out, because the report does not tell that it is.
suite(
  'a report that does not tell whether the engine loads weights is not taken as "no"',
  async () => {
    const loadingIn = async (report: string) => (await probe(report)).unwrap().loading;
    assert.is(await loadingIn('{"busy":false}'), false);
    assert.is(await loadingIn('{"seq":3}'), undefined);
  },
);

// Guards against requests given up as lost because a probe that does not name the server's run counts as one of another.
suite('a report without a start, and a health check, name no run of the server', async () => {
  assert.is((await probe('{"born":18}')).unwrap().incarnation, 'i-1@18');
  assert.is((await probe('{"seq":3}')).unwrap().incarnation, undefined);
  assert.is((await probe('', [])).unwrap().incarnation, undefined);
});

suite.run();
