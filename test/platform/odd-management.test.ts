import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as results from 'ts-results';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as verdict from '../../src/verdict';
import * as managementServer from './management-server';

const suite = uvu.suite('management calls whose answers have no status');

const ODD_STATUSES = ['000 None', '001 One', '099 Low', '101 Switching', '600 High', '999 Last'];

/** Answers with an odd status: with a body, and before an answer that would be taken. */
function oddAnswers(status: string, body: object): string[] {
  const text = JSON.stringify(body);
  const rest = `Content-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
  return [
    `HTTP/1.1 ${status}\r\n${rest}`,
    `HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 200 OK\r\n${rest}`,
    `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`,
  ];
}

type Outcome = results.Result<unknown, verdict.RequestFailure>;

/** Checks that each odd answer to a call is malformed, and that the call is made once. */
async function checkOdd(
  server: managementServer.ManagementServer,
  body: object,
  call: () => Promise<Outcome>,
): Promise<void> {
  for (const status of ODD_STATUSES) {
    for (const bytes of oddAnswers(status, body)) {
      const { calls } = server;
      server.answerWith({ bytes, then: 'end' });
      const outcome = await call();
      const seen = JSON.stringify([bytes, outcome.val]);
      assert.ok(outcome.err, seen);
      assert.is(outcome.val.malformed, true, seen);
      assert.is(outcome.val.verdict, verdict.Verdict.MayHaveRun, seen);
      assert.is(server.calls, calls + 1, seen);
    }
  }
}

function clientOf(
  server: managementServer.ManagementServer,
  model: string | undefined,
): serverClient.PlatformServer {
  return new serverClient.PlatformServer(
    {
      id: 'i-1',
      host: '127.0.0.1',
      port: server.port,
      zone: 'pl-caudan',
      region: 'port-louis',
      service: 'desk',
      kind: backend.BackendKind.ModelEngine,
      phase: backend.MachinePhase.Live,
    },
    { holder: 'test', modelOf: () => model, healthPathOf: () => '/health' },
    new platformHeaderCodec.PlatformHeaderCodec(),
    new clock.SystemClock(),
  );
}

// Guards against a page of the list of VMs that is taken from an answer without a valid status.
suite('an odd status is no page of the list of VMs', async () => {
  const server = new managementServer.ManagementServer();
  await server.run(async () => {
    const list = new platformMachineList.PlatformMachineList(
      { host: '127.0.0.1', port: server.port },
      { regionOf: () => 'port-louis', modelOf: () => 'desk-model' },
      new clock.SystemClock(),
    );
    await checkOdd(server, { instances: [], next_page_token: null }, () => list.read());
  });
});

// Guards against a health check that counts as passed, and an order as not accepted, though nothing is known.
suite('an odd status is no report, health check, order or reservation', async () => {
  const server = new managementServer.ManagementServer();
  await server.run(async () => {
    const engine = clientOf(server, 'desk-model');
    const plain = clientOf(server, undefined);
    const report = { models: [], busy: false, seq: 0, born: 1 };
    await checkOdd(server, report, () => engine.probe());
    await checkOdd(server, report, () => engine.probeOnOpenConnection());
    await checkOdd(server, {}, () => plain.probe());
    const order = { value: '3', fencingNumber: 1 } as backend.EngineOrder;
    await checkOdd(server, {}, () => engine.order(order));
    await checkOdd(server, { hold: '1' }, () => engine.reserve({ tokens: 1, milliseconds: 1 }));
    await Promise.all([engine.close(), plain.close()]);
  });
});

suite.run();
