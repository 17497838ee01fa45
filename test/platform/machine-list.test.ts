import * as http from 'node:http';
import type * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';

const suite = uvu.suite('list of the platform');

const ENTRY = {
  id: 'i-1',
  service: 'desk',
  addr: '10.1.64.5:8080',
  zone: 'pl-caudan',
  version: 'v2',
  state: 'ready',
  models: [{ name: 'm', version: 2, adapters: [] }],
  born: 17,
};

/** Serves pages in turn and reads the list from them. */
async function readPages(pages: readonly unknown[]) {
  let next = 0;
  const server = http.createServer((_request, response) => {
    response.end(JSON.stringify(pages[next]));
    next += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const context = { regionOf: () => 'port-louis', isEngine: (name: string) => name === 'desk' };
  const time = new clock.SystemClock();
  const list = new platformMachineList.PlatformMachineList(
    { host: '127.0.0.1', port },
    context,
    time,
  );
  const read = await list.read();
  server.closeAllConnections();
  server.close();
  return read;
}

suite('pages are read to the end and decoded', async () => {
  const draining = { ...ENTRY, id: 'i-2', service: 'ledger', state: 'draining', models: [] };
  const read = await readPages([
    { instances: [ENTRY], next_page_token: 'p-1' },
    { instances: [draining], next_page_token: null },
  ]);
  const [first, second] = read.unwrap();
  assert.is(first.incarnation, 'i-1@17');
  assert.is(first.weightsVersion, '2');
  assert.is(first.softwareVersion, 'v2');
  assert.is(first.kind, backend.BackendKind.ModelEngine);
  assert.is(second.phase, backend.MachinePhase.Leaving);
  assert.is(second.weightsVersion, undefined);
});

// Guards against one invalid entry that makes the whole list unusable.
suite('invalid entries are skipped, and the valid ones are used', async () => {
  const odd = [
    null,
    'text',
    { ...ENTRY, addr: 'nowhere' },
    { ...ENTRY, state: 'dreaming' },
    { ...ENTRY, id: 7 },
    { ...ENTRY, models: 'none' },
    { ...ENTRY, version: 2 },
    { ...ENTRY, version: undefined },
  ];
  const read = await readPages([{ instances: [...odd, ENTRY], next_page_token: null }]);
  assert.equal(
    read.unwrap().map(({ id }) => id),
    ['i-1'],
  );
});

suite('an invalid list is an error and not an empty list', async () => {
  assert.ok((await readPages(['none'])).err);
});

suite.run();
