import * as http from 'node:http';
import type * as net from 'node:net';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformMachineList from '../../platform/platform-machine-list';
import * as clock from '../../src/clock';
import * as capturedLog from '../support/captured-log';

const suite = uvu.suite('unreadable entries in the list of the platform');

const [FIRST, SECOND] = ['i-1', 'i-2'].map((id) =>
  JSON.stringify({
    id,
    service: 'desk',
    addr: '10.1.64.5:8080',
    zone: 'pl-caudan',
    version: 'v2',
    state: 'ready',
    models: [{ name: 'm', version: 2, adapters: [] }],
    born: 17,
  }),
);

/** A server with one page at a time, and a list that reads it. */
class Scene {
  body = Buffer.alloc(0);

  paths: (string | undefined)[] = [];

  private readonly server = http.createServer((request, response) => {
    this.paths.push(request.url);
    response.end(request.url === '/instances' ? this.body : page([], 'null'));
  });

  private list: platformMachineList.PlatformMachineList | undefined;

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as net.AddressInfo;
    const context = { regionOf: () => 'port-louis', modelOf: () => 'm' };
    this.list = new platformMachineList.PlatformMachineList(
      { host: '127.0.0.1', port },
      context,
      new clock.SystemClock(),
    );
  }

  /** The ids in the list; `undefined` if it cannot be read. */
  async idsOf(body: string | Buffer): Promise<readonly string[] | undefined> {
    this.body = Buffer.from(body);
    this.paths = [];
    const read = await this.list!.read();
    return read.ok ? read.val.map(({ id }) => id) : undefined;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

function page(entries: readonly (string | Buffer)[], token: string): Buffer {
  const parts = entries.flatMap((entry, index) => [Buffer.from(index === 0 ? '' : ','), entry]);
  return Buffer.concat(
    ['{"instances":[', ...parts, `],"next_page_token":${token}}`].map((part) => Buffer.from(part)),
  );
}

async function withScene(work: (scene: Scene) => Promise<void>): Promise<void> {
  const scene = new Scene();
  await scene.listen();
  try {
    await work(scene);
  } finally {
    scene.close();
  }
}

const UNREADABLE: Readonly<Record<string, string | Buffer>> = {
  nothing: '',
  'bytes that are not UTF-8': Buffer.from([0xff, 0xfe, 0xc0]),
  'bytes that are not UTF-8 in its id': Buffer.concat([
    Buffer.from(FIRST.slice(0, 7)),
    Buffer.from([0xff, 0xc0]),
    Buffer.from(FIRST.slice(7)),
  ]),
  'a broken escape': '{"id":"\\x"}',
  'a control character in a string': '{"id":"\u0001"}',
  'a string without an end': '{"id":"i-3',
  'a quotation mark': '"',
  'a backslash': '\\',
  'an object without an end': '{"id":"i-3","models":[{"name":"m"}',
  'an array without an end': '[0',
  'many arrays without an end': '['.repeat(200_000),
  'many objects without an end': '{"a":'.repeat(100_000),
  'many objects in arrays without an end': '[{"a":'.repeat(100_000),
  'a closing bracket': ']',
  'the end of the page': '],"next_page_token":"p-9"}',
  'the key of a page token': '"next_page_token":"p-9"',
  'a word': 'undefined',
  'a cut number': '1e',
};

// Guards against one unreadable entry that makes all others of its page unknown.
Object.entries(UNREADABLE).forEach(([name, entry]) => {
  suite(`the other entries of a page hold beside ${name}`, async () => {
    await withScene(async (scene) => {
      assert.equal(await scene.idsOf(page([FIRST, entry, SECOND], 'null')), ['i-1', 'i-2']);
      assert.equal(await scene.idsOf(page([entry, FIRST, SECOND], '"p-1"')), ['i-1', 'i-2']);
      assert.equal(scene.paths, ['/instances', '/instances?page_token=p-1']);
      assert.equal(await scene.idsOf(page([FIRST, SECOND, entry], '"p-1"')), ['i-1', 'i-2']);
      assert.equal(scene.paths, ['/instances', '/instances?page_token=p-1']);
    });
  });
});

const NESTED = [10_000, 200_000].flatMap((depth) => [
  { name: `${depth} arrays`, json: '['.repeat(depth) + ']'.repeat(depth) },
  { name: `${depth} objects`, json: `${'{"a":'.repeat(depth)}0${'}'.repeat(depth)}` },
]);

// Guards against a deeply nested entry that ends the process or makes its page unreadable.
NESTED.forEach(({ name, json }) => {
  suite(
    `${name} in one another spoil neither their page nor a field that nobody reads`,
    async () => {
      await withScene(async (scene) => {
        const field = FIRST.replace('"adapters":[]', `"adapters":${json}`);
        assert.equal(await scene.idsOf(page([FIRST, json, SECOND], 'null')), ['i-1', 'i-2']);
        const broken = page([FIRST, json.slice(1), SECOND], 'null');
        assert.equal(await scene.idsOf(broken), ['i-1', 'i-2']);
        assert.equal(await scene.idsOf(page([field, SECOND], 'null')), ['i-1', 'i-2']);
        const models = FIRST.replace('"models":[', `"models":[${json},`);
        assert.equal(await scene.idsOf(page([models, SECOND], 'null')), ['i-2']);
      });
    },
  );
});

suite('the page token may stand before the entries, or be absent', async () => {
  await withScene(async (scene) => {
    const entries = `"instances":[${FIRST},{"id":"\\x"},${SECOND}]`;
    assert.equal(await scene.idsOf(`{"next_page_token":"p-1",${entries}}`), ['i-1', 'i-2']);
    assert.equal(scene.paths, ['/instances', '/instances?page_token=p-1']);
    assert.equal(await scene.idsOf(`{${entries}}`), ['i-1', 'i-2']);
    assert.equal(scene.paths, ['/instances']);
    const others = `"total":2,"zones":["a"]`;
    await scene.idsOf(`{${entries},"next_page_token":"p-1",${others}}`);
    assert.equal(scene.paths, ['/instances', '/instances?page_token=p-1']);
  });
});

// Guards against the removal of all servers of later pages that a broken page does not name.
suite('a page whose token cannot be read is an error', async () => {
  await withScene(async (scene) => {
    const bodies = [
      `{"instances":[${FIRST},\\`,
      `{"instances":[${FIRST},\\],"next_page_token":7}`,
      `{"instances":[${FIRST},\\],"next_page_token":"p-1"`,
      `{"instances":[${FIRST},\\],"next_page_token":"p-1",\\}`,
      `[${FIRST},\\]`,
      '\\',
      '',
    ];
    for (let index = 0; index < bodies.length; index += 1) {
      assert.is(await scene.idsOf(bodies[index]), undefined, bodies[index].slice(-40));
    }
  });
});

suite('a page with unreadable bytes is logged once', async () => {
  const message = 'entry in the list of VMs names no usable server; it is skipped';
  const lines = await capturedLog.linesOf(message, () =>
    withScene(async (scene) => {
      for (let read = 0; read < 5; read += 1) {
        await scene.idsOf(page([FIRST, '{"id":"\\x"}', SECOND], 'null'));
      }
    }),
  );
  assert.equal(
    lines.map(({ fault }) => fault),
    ['bytes that cannot be read'],
  );
});

/** An entry of JSON or of any bytes, which may look like parts of an entry or of a page. */
const oddEntry = fastCheck.oneof(
  fastCheck.jsonValue({ maxDepth: 6 }).map((value) => Buffer.from(JSON.stringify(value))),
  fastCheck.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
  fastCheck
    .array(
      fastCheck.oneof(
        fastCheck.constantFrom('{', '[', '"', '\\', '{"a":', '{"id":"x"', ',', ':', '0', '{}', 'e'),
        fastCheck.string({ maxLength: 4 }),
      ),
      { maxLength: 12 },
    )
    .map((parts) => Buffer.from(parts.join(''))),
  fastCheck
    .tuple(fastCheck.nat(SECOND.length), fastCheck.uint8Array({ minLength: 1, maxLength: 4 }))
    .map(([position, bytes]) => {
      const entry = Buffer.from(SECOND.replace('i-2', 'i-odd'));
      return Buffer.concat([entry.subarray(0, position), bytes, entry.subarray(position)]);
    }),
);

// Guards against any entry that throws, spoils its page, or takes its neighbours away.
suite('any entry between two sound ones leaves these two', async () => {
  await withScene(async (scene) => {
    await fastCheck.assert(
      fastCheck.asyncProperty(oddEntry, async (entry) => {
        const ids = await scene.idsOf(page([FIRST, entry, SECOND], 'null'));
        assert.equal(
          ids?.filter((id) => id === 'i-1' || id === 'i-2'),
          ['i-1', 'i-2'],
        );
        assert.ok(ids!.length <= 3, 'one odd entry became several');
      }),
      { numRuns: 500 },
    );
  });
});

suite.run();
