import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as flood from '../support/flood';
import * as floodServer from '../support/flood-server';
import * as builder from './gateway-builder';

const suite = uvu.suite('answers whose caller reads nothing');

/** A caller that sends one request and reads nothing. */
async function connect(port: number, deadlineMilliseconds: number): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.pause();
  const lines = [
    'GET /balance/7 HTTP/1.1',
    'host: desk.example',
    `authorization: Token ${builder.CREDENTIAL}`,
    'x-figline-request-id: unread',
    `x-figline-deadline-ms: ${deadlineMilliseconds}`,
  ];
  await new Promise<void>((resolve) => {
    socket.write(`${lines.join('\r\n')}\r\n\r\n`, () => resolve());
  });
  return socket;
}

async function withFlood(
  given: flood.Flood,
  work: (gateway: builder.GatewayBuilder, server: floodServer.FloodServer) => Promise<void>,
): Promise<void> {
  const server = new floodServer.FloodServer('i-1', given, floodServer.reports);
  await new builder.GatewayBuilder([server]).run((gateway) => work(gateway, server));
}

async function assertGivenUp(
  gateway: builder.GatewayBuilder,
  server: floodServer.FloodServer,
): Promise<void> {
  for (let turn = 0; turn < 100 && server.closedFloods < server.requests; turn += 1) {
    await gateway.time.sleep(10);
  }
  assert.ok(server.requests > 0);
  assert.is(server.closedFloods, server.requests);
  // An exception in a listener of a socket comes later, and ends the process.
  await gateway.time.sleep(200);
}

// Guards against a process that ends, with all its requests, when it gives up an answer that it has stopped to read.
Object.entries(flood.BODY_FLOODS).forEach(([name, given]) => {
  suite(`${name} without end is given up when its caller leaves`, () =>
    withFlood(given, async (gateway, server) => {
      const caller = await connect(gateway.callerPort, 20_000);
      await gateway.time.sleep(500);
      caller.destroy();
      await assertGivenUp(gateway, server);
    }),
  );

  suite(`${name} without end is given up when its time ends`, () =>
    withFlood(given, async (gateway, server) => {
      const caller = await connect(gateway.callerPort, 600);
      await gateway.time.sleep(1_000);
      await assertGivenUp(gateway, server);
      caller.destroy();
    }),
  );

  suite(`${name} that its server resets while nothing is read does no harm`, () =>
    withFlood(given, async (gateway, server) => {
      const caller = await connect(gateway.callerPort, 20_000);
      await gateway.time.sleep(500);
      server.reset();
      await gateway.time.sleep(200);
      caller.destroy();
      await assertGivenUp(gateway, server);
    }),
  );
});

suite.run();
