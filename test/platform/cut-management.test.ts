import * as uvu from 'uvu';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as serverClient from '../../platform/server-client';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as managementServer from './management-server';

const suite = uvu.suite('answers to management calls that break off');

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
  const server = new managementServer.ManagementServer();
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
    const server = new managementServer.ManagementServer();
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
