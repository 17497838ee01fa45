import * as http from 'node:http';
import type * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('fields of orders');

const ORDER: backend.EngineOrder = {
  kind: backend.OrderKind.LoadWeights,
  fencingNumber: 41,
  value: '2',
  expectedOrders: 0,
};

/** Sends an order to an engine that accepts everything; returns the outcome and the bodies that arrived. */
async function send(order: backend.EngineOrder, model: string | undefined) {
  const bodies: unknown[] = [];
  const server = http.createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    bodies.push(JSON.parse(Buffer.concat(chunks).toString()));
    response.writeHead(202).end();
  });
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
  };
  const issuer = { holder: 'control-1', modelOf: () => model, healthPathOf: () => '/health' };
  const codec = new platformHeaderCodec.PlatformHeaderCodec();
  const client = new serverClient.PlatformServer(machine, issuer, codec, new clock.SystemClock());
  const outcome = await client.order(order);
  await client.close();
  server.closeAllConnections();
  server.close();
  return { outcome, bodies };
}

suite(
  'an order names model, version, sender, epoch and the expected number of orders',
  async () => {
    const { outcome, bodies } = await send(ORDER, 'desk-model');
    assert.is(outcome.unwrap(), backend.OrderOutcome.Accepted);
    assert.equal(bodies, [
      {
        op: 'version',
        model: 'desk-model',
        version: 2,
        switch_mode: 'wait',
        holder: 'control-1',
        fence: 41,
        expect: 0,
      },
    ]);
  },
);

// Guards against an order that leaves its model or its version to the engine.
const INCOMPLETE: Record<string, readonly [string, string | undefined]> = {
  'a service that has left the routing document': ['2', undefined],
  'a service whose document names no model': ['2', ''],
  'a version that is no number': ['v2', 'desk-model'],
  'an empty version': ['', 'desk-model'],
};

Object.entries(INCOMPLETE).forEach(([name, [value, model]]) => {
  suite(`an order for ${name} is not sent`, async () => {
    const { outcome, bodies } = await send({ ...ORDER, value }, model);
    assert.equal(bodies, []);
    assert.is((outcome.val as verdict.RequestFailure).verdict, verdict.Verdict.NotRun);
  });
});

suite.run();
