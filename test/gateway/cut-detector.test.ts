import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as cutDetector from '../../src/gateway/cut-detector';
import * as countedList from './counted-list';

const suite = uvu.suite('detection of a cut from all servers');

/** Time until a connection attempt without an answer fails. */
const PROBE_MILLISECONDS = 500;

/** A detector before servers in two availability zones, of which some do not answer. */
class Scene {
  readonly time = new clock.ManualClock();

  readonly probed: string[] = [];

  readonly changes: boolean[] = [];

  /** Ids of the servers that do not answer. */
  silent: ReadonlySet<string> = new Set();

  /** Whether connections are refused at once instead of staying silent. */
  refuses = false;

  readonly detector: cutDetector.CutDetector;

  constructor(readonly servers: readonly string[]) {
    this.detector = new cutDetector.CutDetector({
      time: this.time,
      random: new clock.SeededRandomSource(1),
      servers: () =>
        servers.map((id) => ({
          ...countedList.RECORD,
          id,
          zone: id.slice(0, 1),
          suspected: false,
        })),
      probe: async (id) => {
        this.probed.push(id);
        if (this.silent.has(id) && !this.refuses) {
          await this.time.sleep(PROBE_MILLISECONDS);
        }
        return !this.silent.has(id);
      },
      onChange: (isCutOff) => this.changes.push(isCutOff),
    });
  }

  cut(refuses = false): this {
    this.silent = new Set(this.servers);
    this.refuses = refuses;
    return this;
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.time.advance(50);
      await new Promise(setImmediate);
    }
  }
}

const SERVERS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'];

// Guards against callers who are refused although other gateways reach the servers.
[true, false].forEach((refuses) =>
  suite(`a gateway whose links are ${refuses ? 'refused' : 'silent'} knows it soon`, async () => {
    const scene = new Scene(SERVERS).cut(refuses);
    scene.detector.suspect('a1');
    await scene.advance(PROBE_MILLISECONDS + 100);
    assert.is(scene.detector.isCutOff, true);
    assert.ok(scene.probed.some((id) => id.startsWith('a')));
    assert.ok(scene.probed.some((id) => id.startsWith('b')));
    scene.silent = new Set();
    await scene.advance(PROBE_MILLISECONDS + 300);
    assert.equal(scene.changes, [true, false]);
  }),
);

// Guards against detours while only some servers are down.
suite('crashed servers, also all of one zone, are no cut', async () => {
  const scene = new Scene(SERVERS);
  scene.silent = new Set(['a1', 'a2', 'a3']);
  for (let round = 0; round < 20; round += 1) {
    scene.detector.suspect(`a${(round % 3) + 1}`);
    await scene.advance(600);
  }
  assert.equal(scene.changes, []);
});

// Guards against probes that grow with the number of servers that fail.
suite('many failures at once lead to one check', async () => {
  const servers = Array.from({ length: 200 }, (_, index) => `${index % 2 ? 'a' : 'b'}${index}`);
  const scene = new Scene(servers);
  servers.slice(0, 100).forEach((id) => scene.detector.suspect(id));
  await scene.advance(400);
  assert.ok(scene.probed.length <= 4, `${scene.probed.length} probes`);
});

// Guards against a judgement by one server, which may be down by itself.
suite('with a single other server nothing is concluded', async () => {
  const scene = new Scene(['a1', 'b1']).cut();
  scene.detector.suspect('a1');
  await scene.advance(1_000);
  assert.equal(scene.changes, []);
});

// Guards against a gateway that stood still and takes the answers that it has not read for a cut.
suite('probes that end late because the process stood still are repeated', async () => {
  const scene = new Scene(SERVERS).cut();
  scene.detector.suspect('a1');
  scene.time.advance(5_000);
  scene.silent = new Set();
  await scene.advance(100);
  assert.equal(scene.changes, []);
});

suite.run();
