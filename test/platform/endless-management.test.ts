import * as http from 'node:http';
import type * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as verdict from '../../src/verdict';
import * as flood from '../support/flood';
import * as floodServer from '../support/flood-server';

const suite = uvu.suite('management calls without an end on the platform');

const time = new clock.SystemClock();

const MAXIMUM_TAKEN_BYTES = 40 * 1_024 * 1_024;

const FLOODS = { ...flood.HEAD_FLOODS, ...flood.TRAILER_FLOODS, ...flood.BODY_FLOODS };

async function withServer(
  given: flood.Flood,
  work: (server: floodServer.FloodServer) => Promise<void>,
): Promise<void> {
  const server = new floodServer.FloodServer('i-1', given);
  await server.listen();
  try {
    await work(server);
    for (let turn = 0; turn < 200 && server.closedFloods < server.requests; turn += 1) {
      await time.sleep(5);
    }
    assert.is(server.closedFloods, server.requests, 'a flood was not ended');
    assert.ok(server.mostBytes < MAXIMUM_TAKEN_BYTES, `${server.mostBytes} bytes`);
  } finally {
    await server.close();
  }
}

function clientOf(port: number, model: string | undefined): serverClient.PlatformServer {
  const machine: backend.MachineRecord = {
    id: 'i-1',
    host: '127.0.0.1',
    port,
    zone: 'pl-caudan',
    region: 'port-louis',
    service: 'desk',
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
  };
  const issuer = { holder: 'test', modelOf: () => model, healthPathOf: () => '/health' };
  return new serverClient.PlatformServer(
    machine,
    issuer,
    new platformHeaderCodec.PlatformHeaderCodec(),
    time,
    PATIENT_LIMITS,
  );
}

/** Long time limits, which a call reaches only if nothing else ends it. */
const PATIENT_LIMITS: backend.BackendLimits = {
  ...backend.DEFAULT_LIMITS,
  managementMilliseconds: 20_000,
};

function listOf(port: number, limits: backend.BackendLimits = PATIENT_LIMITS) {
  const context = { regionOf: () => 'port-louis', modelOf: () => 'm' };
  const address = { host: '127.0.0.1', port };
  return new platformMachineList.PlatformMachineList(address, context, time, limits);
}

const ORDER: backend.EngineOrder = {
  kind: backend.OrderKind.LoadWeights,
  fencingNumber: 1,
  value: '2',
};

// Guards against probes, orders and lists that fill the memory or wait until their timeout.
Object.entries(FLOODS).forEach(([name, given]) => {
  suite(`a report, a health check, an order and the list fail at once after ${name}`, async () => {
    await withServer(given, async (server) => {
      const engine = clientOf(server.port, 'desk-model');
      const plain = clientOf(server.port, undefined);
      const outcomes = [
        await engine.probe(),
        await engine.probeOnOpenConnection(),
        await engine.order(ORDER),
        await plain.probe(),
        await listOf(server.port).read(),
      ];
      outcomes.forEach((outcome) => {
        const failure = outcome.val as verdict.RequestFailure;
        assert.ok(outcome.err);
        assert.is(failure.reason, verdict.FailureReason.BackendError);
        assert.is(failure.verdict, verdict.Verdict.MayHaveRun);
      });
    });
  });

  suite(`a slow drip of ${name} ends a report and the list with their time`, async () => {
    const limits = { ...backend.DEFAULT_LIMITS, managementMilliseconds: 100 };
    await withServer(flood.slowly(given), async (server) => {
      assert.ok((await listOf(server.port, limits).read()).err);
    });
  });
});

// Guards against a list with endless pages, of which one read would last for minutes.
suite('a list with endless pages is an error', async () => {
  let pages = 0;
  const entry = {
    id: 'i',
    service: 's',
    addr: '10.0.0.1:1',
    zone: 'z',
    version: 'v1',
    state: 'ready',
  };
  const server = http.createServer((_request, response) => {
    pages += 1;
    response.end(JSON.stringify({ instances: [entry], next_page_token: `p-${pages}` }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const read = await listOf((server.address() as net.AddressInfo).port).read();
  server.closeAllConnections();
  server.close();
  assert.ok(read.err, 'an endless list was treated as complete');
});

// Guards against one read of the list that keeps all of its large pages in memory.
suite('the total size of a list with large pages is limited', async () => {
  let bytes = 0;
  const filler = 'y'.repeat(1_024 * 1_024);
  const server = http.createServer((_request, response) => {
    bytes += filler.length;
    response.end(JSON.stringify({ instances: [{ filler }], next_page_token: 'again' }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const read = await listOf((server.address() as net.AddressInfo).port).read();
  server.closeAllConnections();
  server.close();
  assert.ok(read.err);
  assert.ok(bytes < MAXIMUM_TAKEN_BYTES, `${bytes} bytes`);
});

suite.run();
