import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('servers with an unusable address');

const time = new clock.SystemClock();

const ADDRESSES = [
  { host: '127.0.0.1', port: 70_000 },
  { host: '127.0.0.1', port: -1 },
  { host: '10.0 .0.1', port: 80 },
  { host: '[::1', port: 80 },
  { host: 'a/b', port: 80 },
  { host: '', port: 80 },
];

function clientOf(address: { readonly host: string; readonly port: number }, model?: string) {
  const machine: backend.MachineRecord = {
    ...address,
    id: 'i-1',
    zone: 'pl-caudan',
    region: 'port-louis',
    service: 'desk',
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
  };
  const issuer = { holder: 'test', modelOf: () => model, healthPathOf: () => '/health' };
  const codec = new platformHeaderCodec.PlatformHeaderCodec();
  return new serverClient.PlatformServer(machine, issuer, codec, time);
}

function failureOfRelay(server: serverClient.PlatformServer): Promise<verdict.RequestFailure> {
  return new Promise((resolve) => {
    server.relay(
      {
        requestId: 'r-1',
        method: 'GET',
        path: '/',
        headers: {},
        body: new Uint8Array(),
        freshConnection: false,
        timeoutMilliseconds: 1_000,
        signal: new AbortController().signal,
      },
      {
        onLimits: () => {},
        onLeaving: () => {},
        onHead: () => {},
        onData: () => {},
        onEnd: () => {},
        onFailure: resolve,
      },
    );
  });
}

// Guards against probes that throw and never end, and against requests that count as executed though none was sent.
ADDRESSES.forEach((address) => {
  suite(`every call fails as not sent at "${address.host}" port ${address.port}`, async () => {
    const engine = clientOf(address, 'desk-model');
    const plain = clientOf(address);
    const order = { kind: backend.OrderKind.LoadWeights, fencingNumber: 1, value: '2' };
    const outcomes = [
      await engine.probe(),
      await engine.probeOnOpenConnection(),
      await engine.order(order),
      await plain.probe(),
    ];
    const failures = outcomes.map(({ val }) => val as verdict.RequestFailure);
    [...failures, await failureOfRelay(plain)].forEach((failure) => {
      assert.is(failure.reason, verdict.FailureReason.ConnectFailed);
      assert.is(failure.verdict, verdict.Verdict.NotRun);
    });
  });
});

suite.run();
