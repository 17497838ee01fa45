import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as control from '../../src/control';
import * as cutCases from './cut-cases';
import * as earlyServer from './early-server';
import type * as builder from './gateway-builder';
import type * as rawServer from './raw-server';

const suite = uvu.suite('answers that break off before their request is read');

/** Far more than both kernels buffer on one connection. */
const UPLOAD = 'u'.repeat(12 * 1_024 * 1_024);

const LIMITS = {
  bodyBytes: UPLOAD.length,
  headersMilliseconds: 60_000,
  requestMilliseconds: 60_000,
  idleMilliseconds: 60_000,
};

/** Enough for the uploads that are sent together, which are larger than the callers of a platform send. */
const VM = { memoryBytes: 1_000_000_000 };

/** One upload whose first attempt is answered early. */
interface Upload {
  readonly id: string;
  readonly name: string;
  readonly kind: cutCases.Kind;
  readonly framing: cutCases.Framing;
  /** Whether a part of the body follows the head of the answer. */
  readonly hasPart: boolean;
  readonly early: Omit<earlyServer.EarlyAnswer, 'bytes'>;
}

/** A server that reads all of the body and then closes its connection has ended its answer. */
const ENDINGS = [
  { ending: earlyServer.EarlyEnding.Reset, reads: false },
  { ending: earlyServer.EarlyEnding.Reset, reads: true },
  { ending: earlyServer.EarlyEnding.Close, reads: false },
];

let lastId = 0;

function uploads(): Upload[] {
  const framings = [cutCases.Framing.Close, cutCases.Framing.OldClose];
  return cutCases.KINDS.flatMap((kind) =>
    framings.flatMap((framing) =>
      ENDINGS.flatMap(({ ending, reads }) =>
        [0, 5, 50, 200].flatMap((endsAfterMilliseconds) =>
          [true, false].map((hasPart) => {
            lastId += 1;
            const id = `c${String(lastId).padStart(6, '0')}`;
            const part = hasPart ? 'a part' : 'no body';
            const reading = reads ? 'reading' : 'not reading';
            const name = `${kind}, ${framing}, ${reading}, ${ending} after ${endsAfterMilliseconds} ms, ${part}`;
            return {
              id,
              name,
              kind,
              framing,
              hasPart,
              early: { ending, endsAfterMilliseconds, reads },
            };
          }),
        ),
      ),
    ),
  );
}

function partOf({ kind, hasPart }: Upload): string {
  const part = cutCases.isStream(kind) ? cutCases.STREAM : 'seven';
  return hasPart ? part : '';
}

/** Heads of servers as they are, and of other gateways with the id of the forwarded request. */
type Heading = (head: string, request: rawServer.RawRequest) => string;

/** Answers the uploads: early at the first attempt, whole at all others. */
class UploadAnswers {
  readonly attempts = new Map<string, rawServer.RawRequest[]>();

  constructor(
    private readonly given: readonly Upload[],
    private readonly heading: Heading = (head) => head,
  ) {}

  readonly answer: earlyServer.UploadAnswer = (request) => {
    const upload = this.given.find(({ id }) => id === request.id);
    if (upload === undefined) {
      return '';
    }
    const earlier = this.attempts.get(request.id) ?? [];
    this.attempts.set(request.id, [...earlier, request]);
    const { id, kind, framing } = upload;
    if (earlier.length > 0) {
      const head = cutCases.headOf(id, cutCases.Framing.Length, kind);
      return this.heading(head, request) + cutCases.bodyOf(kind);
    }
    const head = cutCases.headOf(id, framing, kind);
    return { ...upload.early, bytes: this.heading(head, request) + partOf(upload) };
  };

  /** Sends all uploads, a few at a time, and checks what becomes of each. */
  async check(gateway: builder.GatewayBuilder): Promise<void> {
    const queue = [...this.given];
    const work = async () => {
      for (let upload = queue.shift(); upload !== undefined; upload = queue.shift()) {
        this.checkOne(upload, await send(gateway, upload));
      }
    };
    await Promise.all(Array.from({ length: LANES }, work));
  }

  /** Only the whole answer of a second attempt is a success, and only a request that may run twice has one. */
  private checkOne(upload: Upload, answer: builder.Answer | undefined): void {
    const { id, name, kind } = upload;
    const attempts = this.attempts.get(id) ?? [];
    const seen = `${name}: ${answer?.status} ${answer?.text} after ${attempts.length} attempts`;
    assert.is(attempts.length, cutCases.isRepeated(kind) ? 2 : 1, seen);
    const isWhole = answer?.status === 200 && answer.isComplete;
    assert.is(isWhole, cutCases.isRepeated(kind), seen);
    if (isWhole) {
      assert.is(answer.text, cutCases.bodyOf(kind), seen);
    } else if (answer !== undefined && answer.isComplete) {
      assert.is(answer.status, 502, seen);
    }
  }
}

async function send(
  gateway: builder.GatewayBuilder,
  { id, kind }: Upload,
): Promise<builder.Answer | undefined> {
  const headers = { 'x-figline-request-id': id, 'x-figline-deadline-ms': '15000' };
  try {
    return await gateway.send('POST', `${kind}${id}`, headers, UPLOAD);
  } catch {
    return undefined;
  }
}

const LANES = 3;

// Guards against a part of an answer without a length that looks whole, because its connection was reset while the request was
// being written, and against a second attempt of a request that may have run.
suite('a server that answers an upload early and resets is no success', async () => {
  const answers = new UploadAnswers(uploads());
  const servers = cutCases
    .range(0, 3 * LANES + 1)
    .map((index) => new earlyServer.EarlyServer(`i-${index + 1}`, answers.answer));
  const gateway = cutCases.buildGateway(servers, { limits: LIMITS, vm: VM });
  await gateway.run(() => answers.check(gateway));
});

// Guards against the same between two gateways.
suite('a gateway that answers a forwarded upload early and resets is no success', async () => {
  const heading: Heading = (head, request) => {
    const [, forwardId] = /^figline-forward: (\S+)/im.exec(request.head)!;
    return head.replace('X-Figline-Request-Id', `Figline-Forward: ${forwardId}\r\n$&`);
  };
  const answers = new UploadAnswers(uploads(), heading);
  const peers = ['gateway-2', 'gateway-3'].map(
    (id) => new earlyServer.EarlyServer(id, answers.answer),
  );
  await Promise.all(peers.map((peer) => peer.listen()));
  const gateway = cutCases.buildGateway(UNREACHABLE, {
    limits: LIMITS,
    vm: VM,
    forwardListen: { host: '127.0.0.1', port: 0 },
  });
  try {
    await gateway.run(async () => {
      const near = peers.map(({ id: daemonId, port }) => {
        const address = `127.0.0.1:${port}`;
        return { daemonId, address, zone: 'pl-caudan', region: 'port-louis' };
      });
      gateway.plane.deliver(control.PeerTopic.Gateways, { near });
      await gateway.send('GET', '/balance/0', { 'x-figline-request-id': 'notice' });
      await answers.check(gateway);
    });
  } finally {
    await Promise.all(peers.map((peer) => peer.close()));
  }
});

/** Servers that refuse all connections. */
const UNREACHABLE = ['i-1', 'i-2', 'i-3', 'i-4'].map((id) => ({
  id,
  port: 1,
  listen: async () => {},
  close: async () => {},
}));

suite.run();
