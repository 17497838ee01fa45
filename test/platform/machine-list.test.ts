import * as http from 'node:http';
import type * as net from 'node:net';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as capturedLog from '../support/captured-log';

const suite = uvu.suite('list of the platform');

const SKIPPED = 'entry in the list of VMs names no usable server; it is skipped';

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

/** Serves pages in turn and reads the list from them `times` times; the result is that of the last read. */
async function readPages(pages: readonly unknown[], times = 1) {
  return readBodies(
    pages.map((page) => JSON.stringify(page)),
    times,
  );
}

async function readBodies(bodies: readonly (string | Buffer)[], times = 1) {
  let next = 0;
  const server = http.createServer((_request, response) => {
    response.end(bodies[next % bodies.length]);
    next += 1;
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const context = {
    regionOf: () => 'port-louis',
    modelOf: (name: string) => (name === 'desk' ? 'm' : undefined),
  };
  const time = new clock.SystemClock();
  const list = new platformMachineList.PlatformMachineList(
    { host: '127.0.0.1', port },
    context,
    time,
  );
  let read = await list.read();
  for (let count = 1; count < times; count += 1) {
    read = await list.read();
  }
  server.closeAllConnections();
  server.close();
  return read;
}

/** The ids that a list of one page with these entries has. */
async function idsOf(entries: readonly unknown[]): Promise<readonly string[]> {
  const read = await readPages([{ instances: entries, next_page_token: null }]);
  return read.unwrap().map(({ id }) => id);
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

// Guards against the weights version of another model, under which requests would be sent and engines not be ordered.
suite("an entry tells the weights version of the service's model, or none", async () => {
  const models = [{ name: 'n', version: 9 }, ...ENTRY.models];
  const other = { ...ENTRY, id: 'i-2', models: [{ name: 'n', version: 9 }] };
  const unnamed = { ...ENTRY, id: 'i-3', models: [] };
  const read = await readPages([
    { instances: [{ ...ENTRY, models }, other, unnamed], next_page_token: null },
  ]);
  assert.equal(
    read.unwrap().map(({ weightsVersion }) => weightsVersion),
    ['2', undefined, undefined],
  );
});

// Guards against a start that counts as a restart once a report or a later list tells it.
suite('an entry without a start names no run of the server', async () => {
  const read = await readPages([
    { instances: [{ ...ENTRY, born: undefined }], next_page_token: null },
  ]);
  assert.is(read.unwrap()[0].incarnation, undefined);
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

const UNUSABLE_ADDRESSES = [
  '10.0.0.1:0',
  '10.0.0.1:65536',
  '10.0.0.1:70000',
  '10.0.0.1:99999',
  '10.0.0.1:-1',
  '10.0.0.1:8080x',
  ':8080',
  '10.0 .0.1:80',
  ' 10.0.0.1:80',
  '[10.0.0.1]:80',
  '[::1:80',
  '::1]:80',
  '::1:80',
  '[fe80::1%eth0]:80',
  '10.0.0.1/x:80',
  'user@10.0.0.1:80',
  'user:word@10.0.0.1:80',
  '10.0.0.256:80',
  '10.0.0.1\n:80',
  `${'a'.repeat(300_000)}:80`,
];

// Guards against probes and requests to addresses that no connection can be opened to.
UNUSABLE_ADDRESSES.forEach((addr) => {
  suite(`an entry with the address ${JSON.stringify(addr.slice(0, 30))} is skipped`, async () => {
    const odd = { ...ENTRY, id: 'i-odd', addr };
    const last = { ...ENTRY, id: 'i-2' };
    assert.equal(await idsOf([ENTRY, odd, last]), ['i-1', 'i-2']);
  });
});

suite('an IPv6 address is used without its brackets', async () => {
  const read = await readPages([{ instances: [{ ...ENTRY, addr: '[fd00::5]:8080' }] }]);
  const [{ host, port }] = read.unwrap();
  assert.equal({ host, port }, { host: 'fd00::5', port: 8_080 });
});

/** JSON of an entry in which the text `"odd"` is replaced by other JSON. */
function entryWith(fields: object, json: string): string {
  return JSON.stringify({ ...ENTRY, id: 'i-odd', ...fields }).replace('"odd"', json);
}

const LONG = JSON.stringify('x'.repeat(300_000));

const ODD_ENTRIES = {
  'a start before 1970': entryWith({ born: 'odd' }, '-1'),
  'a start that is no whole number': entryWith({ born: 'odd' }, '1.5'),
  'a start beyond 2^53': entryWith({ born: 'odd' }, '9007199254740993'),
  'an infinite start': entryWith({ born: 'odd' }, '1e400'),
  'an infinite weights version': entryWith({ models: [{ name: 'm', version: 'odd' }] }, '1e400'),
  'a huge weights version': entryWith({ models: [{ name: 'm', version: 'odd' }] }, '1e308'),
  'a weights version beyond 2^53': entryWith(
    { models: [{ name: 'm', version: 'odd' }] },
    '9007199254740993',
  ),
  'a negative weights version': entryWith({ models: [{ name: 'm', version: 'odd' }] }, '-1'),
  'models that are nothing': entryWith({ models: 'odd' }, 'null'),
  'a long id': entryWith({ id: 'odd' }, LONG),
  'an id with a line break': entryWith({ id: 'odd' }, '"i\\r\\nx: y"'),
  'an id that no header can hold': entryWith({ id: 'odd' }, '"i\\u20ac"'),
  'a long service name': entryWith({ service: 'odd' }, LONG),
  'a zone that is not UTF-8': entryWith({ zone: 'odd' }, '"\\ufffd"'),
  'a control character in its version': entryWith({ version: 'odd' }, '"v\\u0000"'),
  'a long zone name': entryWith({ zone: 'odd' }, LONG),
  'a long version': entryWith({ version: 'odd' }, LONG),
  'thousands of models': entryWith({ models: 'odd' }, `[${Array(20_000).fill('0').join(',')}]`),
  'an array': '[1,2]',
  'a string': '"i-odd"',
  null: 'null',
  'a number': '1e400',
};

// Guards against entries of other programs that spoil the list or end the process that reads it.
Object.entries(ODD_ENTRIES).forEach(([name, json]) => {
  suite(`an entry with ${name} is skipped, and the others hold`, async () => {
    const [first, last] = [ENTRY, { ...ENTRY, id: 'i-2' }].map((entry) => JSON.stringify(entry));
    const read = await readBodies([
      `{"instances":[${first},${json},${last}],"next_page_token":null}`,
    ]);
    assert.equal(
      read.unwrap().map(({ id }) => id),
      ['i-1', 'i-2'],
    );
  });
});

// Guards against one entry with a million models, whose errors alone would fill the memory of a small VM.
suite('the models of an entry are not examined one by one when there are too many', async () => {
  const json = entryWith({ models: 'odd' }, `[${Array(400_000).fill('0').join(',')}]`);
  const before = process.memoryUsage().heapTotal;
  const read = await readBodies([`{"instances":[${json}],"next_page_token":null}`]);
  assert.equal(read.unwrap(), []);
  const grown = process.memoryUsage().heapTotal - before;
  assert.ok(grown < 64 * 1_024 * 1_024, `${grown} bytes`);
});

// Guards against names that every object of the language has.
suite('keys and names of the language itself have no meaning', async () => {
  const json = `{"__proto__":{"state":"ready"},${JSON.stringify({ ...ENTRY, state: undefined }).slice(1)}`;
  const read = await readBodies([`{"instances":[${json}],"next_page_token":null}`]);
  assert.equal(read.unwrap(), []);
});

// Guards against two clients for one id, which replace each other at each read.
suite('of several entries with one id the last started one holds, else the first', async () => {
  const entries = [
    { ...ENTRY, addr: '10.0.0.1:1', born: 17 },
    { ...ENTRY, addr: '10.0.0.2:2', born: 18 },
    { ...ENTRY, addr: '10.0.0.3:3', born: 18 },
    { ...ENTRY, addr: '10.0.0.4:4', born: undefined },
    { ...ENTRY, id: 'i-2' },
  ];
  const read = await readPages([{ instances: entries }]);
  assert.equal(
    read.unwrap().map(({ id, port }) => [id, port]),
    [
      ['i-1', 2],
      ['i-2', 8_080],
    ],
  );
});

// Guards against a log that one odd entry fills, and against one that does not say which entry it is.
suite('a skipped entry is logged once, with its id', async () => {
  const odd = { ...ENTRY, id: 'i-odd', addr: '10.0.0.1:70000' };
  const page = { instances: [odd, ENTRY, null], next_page_token: null };
  const lines = await capturedLog.linesOf(SKIPPED, async () => {
    await readPages([page], 5);
  });
  assert.equal(
    lines.map(({ entry, fault }) => ({ entry, fault })),
    [
      { entry: 'i-odd', fault: 'addr' },
      { entry: undefined, fault: 'id' },
    ],
  );
});

suite('the log of skipped entries is bounded when they change all the time', async () => {
  const pages = Array.from({ length: 300 }, (_, index) => ({
    instances: [{ ...ENTRY, id: `i-${index}`.padEnd(1_000, 'x'), addr: 'none' }],
    next_page_token: null,
  }));
  const lines = await capturedLog.linesOf(SKIPPED, async () => {
    await readPages(pages, pages.length);
  });
  assert.ok(lines.length > 0 && lines.length <= 100, `${lines.length} lines`);
  lines.forEach((line) => assert.ok(JSON.stringify(line).length < 500));
});

suite('an invalid list is an error and not an empty list', async () => {
  assert.ok((await readPages(['none'])).err);
});

suite.run();
