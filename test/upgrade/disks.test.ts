import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as zod from 'zod';
import type * as command from '../../src/control/command';
import type * as peerMessage from '../../src/control/peer-message';
import type * as stateMachine from '../../src/control/state-machine';
import type * as replica from '../../src/replica';
import type * as storage from '../../src/storage';
import type * as wire from '../../src/wire';
import * as buildModule from './build';
import * as containment from './containment';
import * as property from './property';
import * as schemaValues from './schema-values';

const suite = uvu.suite('logs, snapshots and data folders of two builds');

const production = buildModule.Build.production();
const current = buildModule.Build.current();
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-upgrade-disks-'));

suite.after(() => {
  production.remove();
  current.remove();
  fs.rmSync(folder, { recursive: true });
});

/** A committed command, and the time of the log since the one before. */
interface LoggedCommand {
  readonly proposed: command.Command;
  readonly milliseconds: number;
}

/** A replica of one build, without its log. */
class Machine {
  private state: stateMachine.ControlState;

  private readonly machine: typeof stateMachine;

  private readonly codec: typeof wire;

  private timestamp = FIRST_TIMESTAMP;

  constructor(readonly build: buildModule.Build) {
    this.machine = build.load('src/control/state-machine');
    this.codec = build.load('src/wire');
    this.state = this.machine.EMPTY_CONTROL_STATE;
  }

  /** Applies an entry as it is read from a log; returns its result as it is sent to the proposer. */
  apply(entry: Uint8Array, milliseconds: number): unknown {
    this.timestamp += milliseconds;
    const proposed = this.codec.decode(entry) as command.Command;
    const applied = this.machine.apply(this.state, proposed, this.timestamp);
    this.state = applied.state;
    return this.codec.decode(this.codec.encode(applied.result));
  }

  encodeEntry({ proposed }: LoggedCommand): Uint8Array {
    const { revision } = this.state.revisions.snapshot;
    const isPublish = proposed.kind === 'publish';
    // Otherwise nearly all publishes are conflicts.
    const isCurrent = isPublish && proposed.baseRevision % 2 === 0;
    return this.codec.encode(isCurrent ? { ...proposed, baseRevision: revision } : proposed);
  }

  snapshot(): Uint8Array {
    return this.machine.encodeState(this.state);
  }

  restore(snapshot: Uint8Array, { timestamp }: Machine): void {
    this.state = this.machine.decodeState(snapshot);
    this.timestamp = timestamp;
  }

  /** The content of the snapshot. */
  content(): unknown {
    return this.codec.decode(this.snapshot());
  }
}

/** Guards against replicas of one group that answer the same log differently while two builds run. */
suite('replicas of both builds reach the same results and states from one log', () =>
  inBothDirections((leaderBuild, followerBuild) =>
    property.holdsFor(fastCheck.array(commandsOf(leaderBuild), { maxLength: 30 }), (commands) => {
      const leader = new Machine(leaderBuild);
      const follower = new Machine(followerBuild);
      applyToBoth(commands, leader, follower);
    }),
  ),
);

/** Guards against a snapshot of one build that the other refuses, or from which it goes on with another state. */
suite('a replica goes on from a snapshot of the other build', () =>
  inBothDirections((writerBuild, readerBuild) => {
    const commands = fastCheck.array(commandsOf(writerBuild), { maxLength: 15 });
    property.holdsFor(fastCheck.tuple(commands, commands), ([before, after]) => {
      const writer = new Machine(writerBuild);
      const reader = new Machine(readerBuild);
      before.forEach((entry) => writer.apply(writer.encodeEntry(entry), entry.milliseconds));
      reader.restore(writer.snapshot(), writer);
      assertSameState(writer, reader);
      applyToBoth(after, writer, reader);
    });
  }),
);

/** Guards against what a rollback would lose: all that production knows has to survive a snapshot of the new build. */
suite('what production wrote survives a snapshot of the working tree', () =>
  property.holdsFor(
    fastCheck.array(commandsOf(production), { maxLength: 20 }),
    (commands: readonly LoggedCommand[]) => {
      const before = new Machine(production);
      const between = new Machine(current);
      const after = new Machine(production);
      commands.forEach((entry) => before.apply(before.encodeEntry(entry), entry.milliseconds));
      between.restore(before.snapshot(), before);
      after.restore(between.snapshot(), before);
      assert.equal(after.content(), before.content());
    },
  ),
);

/** Guards against a control daemon that refuses its folder, takes a new identity or forgets entries or its vote. */
suite('a data folder of either build is opened, continued and given back', async () => {
  let count = 0;
  const writes = fastCheck.array(writesOf(production), { minLength: 1, maxLength: 6 });
  const check = async (first: buildModule.Build, second: buildModule.Build) =>
    property.holdsEventuallyFor(
      fastCheck.tuple(writes, writes),
      async ([before, after]) => {
        count += 1;
        const name = path.join(folder, String(count));
        const written = await writeTo(first, name, before);
        const read = await writeTo(second, name, after);
        assert.equal(plain(read.opened), plain(written.closed));
        const givenBack = await writeTo(first, name, []);
        assert.equal(plain(givenBack.opened), plain(read.closed));
      },
      FOLDER_RUNS,
    );
  await check(production, current);
  await check(current, production);
});

suite.run();

function inBothDirections(
  check: (first: buildModule.Build, second: buildModule.Build) => void,
): void {
  check(production, current);
  check(current, production);
}

/** Commands that a build accepts from its peers, in quick succession or hours apart. */
function commandsOf(build: buildModule.Build): fastCheck.Arbitrary<LoggedCommand> {
  const { commandSchema } = build.load<Record<string, zod.ZodType>>('src/control/peer-message');
  return fastCheck.record(
    {
      proposed: schemaValues.valuesOf(
        commandSchema,
        CANDIDATES,
      ) as fastCheck.Arbitrary<command.Command>,
      milliseconds: fastCheck.constantFrom(0, 1, 400, 6_000, 70_000, 26 * 3_600_000),
    },
    { noNullPrototype: true },
  );
}

function applyToBoth(commands: readonly LoggedCommand[], first: Machine, second: Machine): void {
  commands.forEach((logged) => {
    const entry = first.encodeEntry(logged);
    const firstResult = first.apply(entry, logged.milliseconds);
    assert.equal(second.apply(entry, logged.milliseconds), firstResult);
  });
  assertSameState(first, second);
}

/** Both have all that production knows; the working tree may know more. */
function assertSameState(first: Machine, second: Machine): void {
  const [older, newer] = first.build === production ? [first, second] : [second, first];
  const missing = containment.missingParts(older.content(), newer.content());
  assert.equal(missing, [], `states differ: ${missing.join(', ')}`);
}

/** Writes of a replica: votes, entries as they arrive in messages, and now and then a snapshot. */
function writesOf(build: buildModule.Build): fastCheck.Arbitrary<Partial<replica.Persist>> {
  const { replicaMessage } = messageSchemasOf(build);
  const { shape: append } = schemaValues.variantOf(replicaMessage, 'append');
  const { shape: chunk } = schemaValues.variantOf(replicaMessage, 'snapshot');
  const valuesOf = <Value>(schema: unknown) =>
    schemaValues.valuesOf(schema as zod.ZodType, CANDIDATES) as fastCheck.Arbitrary<Value>;
  const hardState = fastCheck.record(
    { term: fastCheck.nat(50), votedFor: fastCheck.constantFrom('a', 'b') },
    { requiredKeys: ['term'], noNullPrototype: true },
  );
  const entries = valuesOf<readonly replica.Entry[]>(append.entries);
  const snapshot = fastCheck.record(
    {
      index: fastCheck.constant(0),
      term: valuesOf<number>(chunk.snapshotTerm),
      timestamp: valuesOf<number>(chunk.timestamp),
      group: valuesOf<replica.Group>(chunk.group),
      data: valuesOf<Uint8Array>(chunk.data),
    },
    { noNullPrototype: true },
  );
  return fastCheck.record(
    { hardState, entries, snapshot: fastCheck.option(snapshot, { freq: 4, nil: undefined }) },
    { requiredKeys: ['entries'], noNullPrototype: true },
  );
}

function messageSchemasOf(build: buildModule.Build): { readonly replicaMessage: zod.ZodType } {
  const { peerMessageSchema } = build.load<typeof peerMessage>('src/control/peer-message');
  const { shape } = schemaValues.variantOf(peerMessageSchema, 'replica');
  return { replicaMessage: shape.message as zod.ZodType };
}

/** What a folder holds when a build opens it, and after more writes. */
interface FolderContent {
  readonly opened: storage.StoredReplica;
  readonly closed: storage.StoredReplica;
}

async function writeTo(
  build: buildModule.Build,
  name: string,
  writes: readonly Partial<replica.Persist>[],
): Promise<FolderContent> {
  const module = build.load<typeof storage>('src/storage');
  const files = new module.NodeFileSystem();
  const open = new module.Storage(files, name);
  const opened = (await open.open()).unwrap();
  const { entries, snapshot } = opened.durable;
  let index = Math.max(snapshot?.index ?? 0, ...entries.map((entry) => entry.index));
  for (const write of writes) {
    const numbered = numberFrom(index + 1, write.entries!);
    index += numbered.length;
    const taken = write.snapshot && { snapshot: { ...write.snapshot, index }, compactTo: index };
    const effect = { kind: 'persist', ...write, entries: numbered, ...taken } as replica.Persist;
    (await open.persist(effect)).unwrap();
  }
  await open.close();
  const again = new module.Storage(files, name);
  const closed = (await again.open()).unwrap();
  await again.close();
  return { opened, closed };
}

function numberFrom(first: number, entries: readonly replica.Entry[]): replica.Entry[] {
  return entries.map((entry, offset) => ({ ...entry, index: first + offset }));
}

/** Without the fields whose value is absent. */
function plain(value: unknown): unknown {
  const codec = production.load<typeof wire>('src/wire');
  return JSON.parse(JSON.stringify(codec.decode(codec.encode(value))));
}

const FIRST_TIMESTAMP = 1_790_000_000_000;

/** Each run writes several files and syncs them. */
const FOLDER_RUNS = 20;

const CANDIDATES = [
  ...[0, 1, 32].map((length) => new Uint8Array(length).fill(7)),
  { kind: 'team', name: 'depot' },
  { kind: 'route', name: 'reply' },
];
