import type * as http from 'node:http';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as zod from 'zod';
import type * as platformHeaderCodec from '../../platform/platform-header-codec';
import type * as control from '../../src/control';
import type * as crashEvidenceMessage from '../../src/gateway/crash-evidence-message';
import type * as forwardHeader from '../../src/gateway/forward-header';
import type * as loadTable from '../../src/gateway/load-table';
import type * as frame from '../../src/wire/frame';
import type * as handshake from '../../src/wire/handshake';
import * as buildModule from './build';
import * as containment from './containment';
import * as property from './property';
import * as schemaValues from './schema-values';

const suite = uvu.suite('messages between two builds');

const production = buildModule.Build.production();
const current = buildModule.Build.current();

suite.after(() => {
  production.remove();
  current.remove();
});

/** A message between two processes: the module and the name of its schema. */
interface MessageSchema {
  readonly module: string;
  readonly schema: string;
}

/** Messages outside the log, by the names of their topics. */
const TOPIC_MESSAGES: Readonly<Record<keyof typeof control.PeerTopic, MessageSchema>> = {
  Membership: { module: 'src/membership/report', schema: 'reportSchema' },
  Quarantine: { module: 'src/daemon/peer-quarantine', schema: 'reportSchema' },
  CrashEvidence: { module: 'src/gateway/crash-evidence-message', schema: 'schema' },
  RequestLimits: { module: 'src/gateway/request-limit-exchange', schema: 'messageSchema' },
  Machines: { module: 'src/gateway/shared-machine-list', schema: 'messageSchema' },
  Load: { module: 'src/gateway/load-message', schema: 'messageSchema' },
  Gateways: { module: 'src/gateway/peer-gateway-message', schema: 'peerGatewayMessageSchema' },
};

const LINK_MESSAGES: readonly MessageSchema[] = [
  { module: 'src/wire/handshake', schema: 'helloSchema' },
  { module: 'src/wire/handshake', schema: 'proofSchema' },
  { module: 'src/control/peer-message', schema: 'peerMessageSchema' },
];

/** Runs a check for messages from production to the working tree and the other way round. */
function inBothDirections(
  check: (sender: buildModule.Build, receiver: buildModule.Build) => void,
): void {
  check(production, current);
  check(current, production);
}

/** Guards against a topic whose messages no test sends from one build to another. */
suite('the messages of every topic are known to this test', () => {
  const { PeerTopic } = current.load<typeof control>('src/control');
  assert.equal(Object.keys(TOPIC_MESSAGES).sort(), Object.keys(PeerTopic).sort());
});

/** Guards against daemons that close their links, or drop a message or a field of it, during an upgrade or a rollback. */
[...LINK_MESSAGES, ...Object.values(TOPIC_MESSAGES)].forEach((message) => {
  suite(`${message.module} ${message.schema}: each build reads what the other sends`, () =>
    inBothDirections((sender, receiver) => {
      const sent = schemaOf(sender, message);
      const accepted = schemaOf(receiver, message);
      const candidates = candidatesOf(sender);
      schemaValues
        .variantsOf(sent)
        .forEach((variant) =>
          property.holdsFor(
            schemaValues.valuesOf(variant, candidates),
            (value) => assertRead(sent.parse(value), accepted, sender, receiver),
            RUNS_OF_A_VARIANT,
          ),
        );
    }),
  );
});

/** Guards against daemons of two builds that refuse each other's links. */
suite('each build accepts the proof of the other', () => {
  inBothDirections((sender, receiver) => {
    const prover = sender.load<typeof handshake>('src/wire/handshake');
    const verifier = receiver.load<typeof handshake>('src/wire/handshake');
    const proverHello = prover.createHello({ daemonId: 'a', zone: 'z', address: '127.0.0.1:1' });
    const verifierHello = verifier.createHello({
      daemonId: 'b',
      zone: 'z',
      address: '127.0.0.1:2',
    });
    assert.is(proverHello.version, verifierHello.version);
    const proof = prover.createProof('key', proverHello, verifierHello);
    assert.ok(verifier.verifyProof('key', proverHello, verifierHello, proof));
  });
});

const serverIds = ['i-1', 'i-2', 'i-3'];
const tokens = fastCheck.integer({ min: 0, max: 100_000 });
const hash = fastCheck.integer({ min: 0, max: 0xffff_ffff });

/** Guards against loads, placements and demand that a daemon of the other build reads as other numbers. */
suite('each build reads the tables of the other as its own', () => {
  const load = fastCheck.record({
    requests: fastCheck.nat(50),
    prefillTokens: tokens,
    memoryTokens: tokens,
  });
  const placement = fastCheck.record({
    serverId: fastCheck.constantFrom(...serverIds),
    hashes: fastCheck.array(hash, { maxLength: 4 }),
  });
  const demand = fastCheck.record({ hash, milliseconds: tokens, requests: fastCheck.nat(40) });
  const values = fastCheck.tuple(
    fastCheck.array(load, { minLength: 3, maxLength: 3 }),
    fastCheck.array(placement, { maxLength: 4 }),
    fastCheck.array(demand, { maxLength: 4 }),
  );
  inBothDirections((sender, receiver) => {
    const writer = sender.load<typeof loadTable>('src/gateway/load-table');
    const reader = receiver.load<typeof loadTable>('src/gateway/load-table');
    property.holdsFor(values, ([loads, placements, demands]) => {
      const byServer = new Map(
        loads.map((entry, index) => [serverIds[index], { serverId: serverIds[index], ...entry }]),
      );
      const loadBytes = writer.encodeLoads(serverIds, byServer);
      const placementBytes = writer.encodePlacements(serverIds, placements);
      const demandBytes = writer.encodeDemand(demands);
      assert.equal(
        reader.decodeLoads(serverIds, loadBytes),
        writer.decodeLoads(serverIds, loadBytes),
      );
      assert.equal(
        reader.decodePlacements(serverIds, placementBytes),
        writer.decodePlacements(serverIds, placementBytes),
      );
      assert.equal(reader.decodeDemand(demandBytes), writer.decodeDemand(demandBytes));
    });
  });
});

/** Guards against crashes that only the daemons of one build count. */
suite('each build reads the crash evidence of the other as its own', () => {
  const text = fastCheck.constantFrom('a', 'part:depot/5c1e');
  const at = fastCheck.integer({ min: 0, max: 10_000 });
  const values = fastCheck.record({
    crashes: fastCheck.array(
      fastCheck.record({ serverId: text, at, causes: fastCheck.array(text) }),
    ),
    safeBegins: fastCheck.array(fastCheck.record({ cause: text, at })),
  });
  inBothDirections((sender, receiver) => {
    const writer = sender.load<typeof crashEvidenceMessage>('src/gateway/crash-evidence-message');
    const reader = receiver.load<typeof crashEvidenceMessage>('src/gateway/crash-evidence-message');
    const from = fastCheck.constantFrom(...Object.values(writer.EvidenceSender));
    property.holdsFor(fastCheck.tuple(from, values), ([role, evidence]) => {
      const payload = writer.encode(role, evidence, 10_000);
      const read = reader.decode(transfer(payload, sender, receiver), 20_000);
      assert.ok(read);
      assert.equal(read, writer.decode(payload, 20_000));
    });
  });
});

/** Guards against requests that one gateway forwards and the gateway of the other build refuses or runs differently. */
suite('each build reads the headers of requests that the other forwards', () => {
  const count = fastCheck.nat(100);
  const metadata = fastCheck.record(
    {
      id: fastCheck.constantFrom('request-1#2', 'a'),
      routingVersion: count,
      runs: count,
    },
    { noNullPrototype: true },
  );
  const progress = fastCheck.record(
    { remainingMilliseconds: count, lastEventId: count, resumes: fastCheck.constant('request-0') },
    { requiredKeys: ['remainingMilliseconds'] },
  );
  const caller: http.IncomingHttpHeaders = {
    authorization: 'Token key',
    'x-figline-request-id': 'request-1',
    'x-figline-deadline-ms': '900',
    'x-figline-token-counts': '1460,80',
    'x-figline-prompt-prefix': '5c1e:800,91bd:410',
    'last-event-id': '2',
    resumes: 'request-0',
  };
  inBothDirections((sender, receiver) => {
    const writer = sender.load<typeof forwardHeader>('src/gateway/forward-header');
    const reader = receiver.load<typeof forwardHeader>('src/gateway/forward-header');
    const writerCodec = codecOf(sender);
    const readerCodec = codecOf(receiver);
    assert.equal(
      writer.FORWARD_HEADERS.filter((name) => !reader.FORWARD_HEADERS.includes(name)),
      [],
    );
    property.holdsFor(fastCheck.tuple(metadata, progress), ([forwarded, changed]) => {
      assert.equal(reader.readForwarded(writer.forwardHeaders(forwarded)), forwarded);
      const headers = writerCodec.forwardHeaders(caller, changed);
      assert.equal(readerCodec.readCaller(headers), writerCodec.readCaller(headers));
    });
    const refusal = { [writer.ForwardHeader.Verdict]: 'not-run' };
    assert.is(reader.isRefusal(503, refusal), writer.isRefusal(503, refusal));
    assert.ok(reader.isRefusal(503, refusal));
  });
});

suite.run();

function schemaOf(build: buildModule.Build, { module, schema }: MessageSchema): zod.ZodType {
  const found = build.has(module) && build.load<Record<string, zod.ZodType>>(module)[schema];
  if (!found) {
    throw new Error(`${build.name} has no ${schema} in ${module}; name its new place in this test`);
  }
  return found;
}

/** The receiver has all that the sender knows; it may lack only fields that it does not know. */
function assertRead(
  sent: unknown,
  accepted: zod.ZodType,
  sender: buildModule.Build,
  receiver: buildModule.Build,
): void {
  const read = accepted.safeParse(transfer(sent, sender, receiver));
  const way = `${sender.name} to ${receiver.name}`;
  assert.ok(read.success, `${way}: refused: ${read.error?.message}`);
  const [older, newer] = sender === production ? [sent, read.data] : [read.data, sent];
  const missing = containment.missingParts(older, newer);
  assert.equal(missing, [], `${way}: lost or changed: ${missing.join(', ')}`);
}

/** Sends a value in a frame, as over a link. */
function transfer(value: unknown, sender: buildModule.Build, receiver: buildModule.Build): unknown {
  const writer = sender.load<typeof frame>('src/wire/frame');
  const reader = new (receiver.load<typeof frame>('src/wire/frame').FrameReader)();
  reader.admitLargeFrames();
  reader.push(writer.encodeFrame({ kind: 'test', value } as frame.WireMessage).unwrap());
  return (reader.next().unwrap() as unknown as { readonly value: unknown }).value;
}

function codecOf(build: buildModule.Build): platformHeaderCodec.PlatformHeaderCodec {
  const { PlatformHeaderCodec } = build.load<typeof platformHeaderCodec>(
    'platform/platform-header-codec',
  );
  return new PlatformHeaderCodec();
}

/** Enough for each of the few values of an enumeration and each optional field to occur. */
const RUNS_OF_A_VARIANT = 150;

/** Values for the parts of messages that functions or patterns check. */
function candidatesOf(build: buildModule.Build): readonly unknown[] {
  const { CommandResultKind } = build.load<typeof control>('src/control');
  return [
    ...[0, 1, 32].map((length) => new Uint8Array(length).fill(7)),
    { kind: 'team', name: 'depot' },
    ...Object.values(CommandResultKind).map((kind) => ({ kind })),
    '10.1.0.23:8782',
  ];
}
