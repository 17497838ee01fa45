import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as fakeBackendServer from './fake-backend-server';

const suite = uvu.suite('management calls whose answers say that the server leaves');

const ORDER: backend.EngineOrder = {
  kind: backend.OrderKind.LoadWeights,
  fencingNumber: 1,
  value: '3',
};

const CALLS: Readonly<Record<string, (client: serverClient.PlatformServer) => Promise<unknown>>> = {
  report: (client) => client.probe(),
  'report on an open connection': (client) => client.probeOnOpenConnection(),
  order: (client) => client.order(ORDER),
  reservation: (client) => client.reserve({ tokens: 10, milliseconds: 100 }),
  'end of a reservation': (client) => client.release('hold-1'),
};

/** The runs that a client has reported as leaving while it made a call. */
async function leavingRuns(
  call: (client: serverClient.PlatformServer) => Promise<unknown>,
  isLeaving: boolean,
  hasModel = true,
): Promise<readonly (string | undefined)[]> {
  const server = new fakeBackendServer.FakeBackendServer('i-1', [fakeBackendServer.refuse]);
  server.isLeaving = isLeaving;
  await server.listen();
  const machine: backend.MachineRecord = {
    id: server.id,
    host: '127.0.0.1',
    port: server.port,
    zone: 'pl-caudan',
    region: 'port-louis',
    service: 'desk',
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
  };
  const runs: (string | undefined)[] = [];
  let known = 'first';
  const client = new serverClient.PlatformServer(
    machine,
    {
      holder: 'control-1',
      modelOf: () => (hasModel ? 'desk-model' : undefined),
      healthPathOf: () => '/health',
    },
    new platformHeaderCodec.PlatformHeaderCodec(),
    new clock.SystemClock(),
    undefined,
    { incarnation: () => known, answeredAsLeaving: (incarnation) => runs.push(incarnation) },
  );
  const called = call(client);
  known = 'second';
  await called;
  await client.close();
  await server.close();
  return runs;
}

Object.entries(CALLS).forEach(([name, call]) => {
  suite(`${name}: the run that was known when the call was sent leaves`, async () => {
    assert.equal(await leavingRuns(call, true), ['first']);
    assert.equal(await leavingRuns(call, false), []);
  });
});

suite('health check: the server leaves, whatever the status', async () => {
  const reports: boolean[] = [];
  const check = async (client: serverClient.PlatformServer) => {
    reports.push((await client.probe()).unwrap().leaving);
  };
  const withoutModel = async (isLeaving: boolean) => leavingRuns(check, isLeaving, false);
  assert.equal(await withoutModel(false), []);
  assert.equal(await withoutModel(true), ['first']);
  assert.equal(reports, [false, true]);
});

suite.run();
