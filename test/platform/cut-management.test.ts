import * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as cutCases from './cut-cases';
import type * as rawServer from './raw-server';

const suite = uvu.suite('answers to management calls that break off');

/** A server that answers each management call with the same bytes, and then closes or resets the connection. */
class ManagementServer {
  private answer: rawServer.RawBytes = { bytes: '', then: 'end' };

  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      const { bytes, then } = this.answer;
      if (then === 'end') {
        socket.end(bytes);
      } else {
        socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 2));
      }
    });
  });

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  async run(work: () => Promise<void>): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    try {
      await work();
    } finally {
      this.sockets.forEach((socket) => socket.destroy());
      this.server.close();
    }
  }

  /** Answers the calls of `read` with each part of the bytes, and checks that all of them fail. */
  async cutEverywhere(bytes: string, read: () => Promise<{ readonly ok: boolean }>): Promise<void> {
    for (const then of cutCases.ENDINGS) {
      for (const place of cutCases.range(0, bytes.length)) {
        this.answer = { bytes: bytes.slice(0, place), then };
        assert.not((await read()).ok, `${then} at byte ${place} of ${JSON.stringify(bytes)}`);
      }
    }
  }
}

/** Answers with the JSON of a body: with a length, with chunks and with neither. */
function managementAnswers(body: object): string[] {
  const text = JSON.stringify(body);
  const type = 'HTTP/1.1 200 OK\r\nContent-Type: application/json';
  const chunk = `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;
  return [
    `${type}\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
    `${type}\r\nTransfer-Encoding: chunked\r\n\r\n${chunk}`,
    `${type}\r\nConnection: close\r\n\r\n${text}`,
  ];
}

// Guards against a list of VMs that broke off and is read as an empty or a shorter one.
suite('no cut of a page of the list of VMs is a list', async () => {
  const server = new ManagementServer();
  await server.run(async () => {
    const list = new platformMachineList.PlatformMachineList(
      { host: '127.0.0.1', port: server.port },
      { regionOf: () => 'port-louis', modelOf: () => 'desk-model' },
      new clock.SystemClock(),
    );
    for (const answer of managementAnswers({ instances: [], next_page_token: null })) {
      await server.cutEverywhere(answer, () => list.read());
    }
  });
});

// Guards against a report or an acknowledgement that broke off and counts as given.
suite(
  'no cut of a report is a report, and none of an acknowledgement accepts an order',
  async () => {
    const server = new ManagementServer();
    await server.run(async () => {
      const client = new serverClient.PlatformServer(
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
        { holder: 'test', modelOf: () => 'desk-model', healthPathOf: () => '/health' },
        new platformHeaderCodec.PlatformHeaderCodec(),
        new clock.SystemClock(),
      );
      for (const answer of managementAnswers({ models: [], busy: false, seq: 0, born: 1 })) {
        await server.cutEverywhere(answer, () => client.probe());
      }
      const order = { value: '3', fencingNumber: 1 } as backend.EngineOrder;
      for (const answer of managementAnswers({})) {
        await server.cutEverywhere(answer, () => client.order(order));
      }
      await client.close();
    });
  },
);

suite.run();
