import * as zod from 'zod';
import * as configuration from '../configuration';
import * as replica from '../replica';
import * as wire from '../wire';
import * as command from './command';
import * as controlPlane from './control-plane';

/** Kinds of the messages between daemons, besides those of the link itself. */
export enum PeerMessageKind {
  Heartbeat = wire.LinkMessageKind.Heartbeat,
  Replica = 'replica',
  Propose = 'propose',
  ProposeResult = 'propose-result',
  ConfigurationRequest = 'configuration-request',
  ConfigurationDelta = 'configuration-delta',
  ConfigurationSnapshot = 'configuration-snapshot',
  RegisterRequest = 'register-request',
  RegisterCopy = 'register-copy',
  Broadcast = 'broadcast',
}

const MAXIMUM_VOTERS = 64;

const MAXIMUM_NEIGHBOURS = 64;

/** Above the streams of a daemon in one message and the length of their keys. */
const MAXIMUM_STREAMS = 4_096;
const MAXIMUM_KEY_CHARACTERS = 32;

const counter = zod.int().min(0);
const bytes = zod.instanceof(Uint8Array);
const member = zod.object({ replicaId: zod.string(), address: zod.string() });
const desiredVersion = {
  version: zod.int(),
  namedAt: zod.number(),
  knownMilliseconds: zod.number().min(0).optional(),
};
const desiredWeights = zod.object({
  ...desiredVersion,
  earlier: zod.array(zod.object(desiredVersion)).optional(),
});
const group = zod.object({
  voters: zod.array(member),
  awaited: zod.array(zod.string()).optional(),
});
const publishRecord = zod.object({
  revision: counter,
  publishId: zod.string(),
  author: zod.string(),
  committedAtMilliseconds: zod.number(),
  upserts: zod.array(zod.string()),
  removals: zod.array(zod.string()),
});
const envelope = {
  from: member,
  toAddress: zod.string(),
  toId: zod.string().optional(),
  term: counter,
};
const entry = zod.object({
  index: counter,
  term: counter,
  timestamp: zod.number(),
  kind: zod.enum(replica.EntryKind),
  data: bytes.optional(),
  group: group.optional(),
});
const position = { lastIndex: counter, lastTerm: counter };

const replicaMessage = zod.discriminatedUnion('kind', [
  zod.object({ ...envelope, ...position, kind: zod.literal(replica.MessageKind.PreVote) }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.PreVoteReply),
    proposedTerm: counter,
    granted: zod.boolean(),
  }),
  zod.object({ ...envelope, ...position, kind: zod.literal(replica.MessageKind.Vote) }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.VoteReply),
    granted: zod.boolean(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.Append),
    previousIndex: counter,
    previousTerm: counter,
    entries: zod.array(entry),
    commitIndex: counter,
    leaderTime: zod.number().optional(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.AppendReply),
    success: zod.boolean(),
    matchIndex: counter,
    heartbeat: zod.boolean(),
    leaderTime: zod.number().optional(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.Snapshot),
    index: counter,
    snapshotTerm: counter,
    timestamp: zod.number(),
    group,
    offset: counter,
    totalBytes: counter,
    data: bytes,
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.SnapshotReply),
    index: counter,
    offset: counter,
    receivedBytes: counter,
    installed: zod.boolean(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.Discover),
    replicas: zod.array(zod.string()),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(replica.MessageKind.DiscoverReply),
    empty: zod.boolean(),
    sameReplicas: zod.boolean(),
  }),
  zod.object({ ...envelope, kind: zod.literal(replica.MessageKind.Join) }),
  zod.object({ ...envelope, kind: zod.literal(replica.MessageKind.ElectNow) }),
]);

const leader = zod.object({ ...member.shape, term: counter });

/** The leader that a daemon reports to its peers. */
export type KnownLeader = zod.infer<typeof leader>;

// Documents were validated when they were published; a daemon with an older schema must still forward them.
const document = zod.custom<configuration.ConfigurationDocument>(
  (value) => zod.looseObject({ kind: zod.string(), name: zod.string() }).safeParse(value).success,
);

const claimKey = { team: zod.string(), key: zod.string(), attemptId: zod.string() };

const commandSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(command.CommandKind.Publish),
    publishId: zod.string(),
    author: zod.string(),
    baseRevision: counter,
    upserts: zod.array(document),
    removals: zod.array(zod.string()),
  }),
  zod.object({
    ...claimKey,
    kind: zod.literal(command.CommandKind.Claim),
    fingerprint: zod.string(),
    daemonId: zod.string(),
    keyFormat: zod.enum(configuration.KeyFormat).optional(),
  }),
  zod.object({
    ...claimKey,
    kind: zod.literal(command.CommandKind.CompleteClaim),
    answer: zod
      .object({
        status: zod.int(),
        headers: zod.record(zod.string(), zod.string()),
        body: bytes,
      })
      .optional(),
  }),
  zod.object({ ...claimKey, kind: zod.literal(command.CommandKind.AbandonClaim) }),
  zod.object({
    kind: zod.literal(command.CommandKind.PutRouting),
    version: zod.int(),
    text: zod.string(),
    teams: zod
      .object({ isolated: zod.array(zod.string()), sharing: zod.array(zod.string()) })
      .optional(),
  }),
  zod.object({
    kind: zod.literal(command.CommandKind.SetDesiredWeights),
    model: zod.string(),
    version: zod.int(),
  }),
  zod.object({ kind: zod.literal(command.CommandKind.ReadRegister) }),
  zod.object({
    kind: zod.literal(command.CommandKind.RecordOrders),
    orders: zod.array(
      zod.object({
        serverId: zod.string(),
        fencingNumber: counter,
        weightsVersion: zod.string(),
        expectedOrders: counter.optional(),
      }),
    ),
  }),
  zod.object({
    kind: zod.literal(command.CommandKind.ChangeSoftwareVersions),
    service: zod.string(),
    added: zod.array(zod.string()),
    removed: zod.array(zod.string()),
  }),
  zod.object({
    kind: zod.literal(command.CommandKind.RecordStreams),
    begun: zod.array(
      zod.object({
        softwareVersion: zod.string(),
        keys: zod.array(zod.string().max(MAXIMUM_KEY_CHARACTERS)).max(MAXIMUM_STREAMS),
      }),
    ),
  }),
  zod.object({
    kind: zod.literal(command.CommandKind.FindStreams),
    keys: zod.array(zod.string().max(MAXIMUM_KEY_CHARACTERS)).max(MAXIMUM_STREAMS),
  }),
  zod.object({ kind: zod.literal(command.CommandKind.NoOperation) }),
]);

const commandResult = zod.custom<command.CommandResult>(
  (value) =>
    zod.looseObject({ kind: zod.enum(command.CommandResultKind) }).safeParse(value).success,
);

/** Every message that a daemon accepts from an authenticated peer. */
export const peerMessageSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(PeerMessageKind.Heartbeat),
    revision: counter,
    leader: leader.optional(),
    /** Sequence of the register; absent from daemons that have none. */
    register: counter.optional(),
    /** Addresses of the daemons that host voters, as far as the sender knows. */
    voters: zod.array(zod.string()).max(MAXIMUM_VOTERS).optional(),
    /** Addresses of other daemons that the receiver may ask when it has lost all control daemons. */
    neighbours: zod.array(zod.string()).max(MAXIMUM_NEIGHBOURS).optional(),
    /** Number of daemons that the sender knows; only from daemons with replicas, which all others connect to. */
    daemons: zod.int().min(1).optional(),
    /** Wall-clock time of the sender in milliseconds; absent from daemons of earlier releases. */
    sentAt: zod.number().optional(),
    /** Monotonic time of the sender in milliseconds; absent from daemons of releases that send no `copyAge`. */
    sentTick: zod.number().optional(),
    /** Upper bound of the age in milliseconds of the sender's configuration and register; absent if it knows none. */
    copyAge: zod.number().min(0).optional(),
  }),
  zod.object({ kind: zod.literal(PeerMessageKind.Replica), message: replicaMessage }),
  zod.object({
    kind: zod.literal(PeerMessageKind.Propose),
    requestId: zod.string(),
    command: commandSchema,
    timeoutMilliseconds: zod.number().min(0).max(600_000),
  }),
  zod.object({
    kind: zod.literal(PeerMessageKind.ProposeResult),
    requestId: zod.string(),
    result: commandResult.optional(),
    failure: zod.enum(controlPlane.ProposalFailure).optional(),
  }),
  zod.object({ kind: zod.literal(PeerMessageKind.ConfigurationRequest), revision: counter }),
  zod.object({
    kind: zod.literal(PeerMessageKind.ConfigurationDelta),
    from: counter,
    to: counter,
    upserts: zod.array(document),
    removals: zod.array(zod.string()),
    publishes: zod.array(publishRecord).optional(),
  }),
  zod.object({
    kind: zod.literal(PeerMessageKind.ConfigurationSnapshot),
    revision: counter,
    recentPublishes: zod.array(publishRecord).optional(),
    documents: zod.array(document),
  }),
  zod.object({ kind: zod.literal(PeerMessageKind.RegisterRequest), sequence: counter }),
  zod.object({
    kind: zod.literal(PeerMessageKind.RegisterCopy),
    sequence: counter,
    routing: zod.object({ version: zod.int(), text: zod.string() }).optional(),
    weights: zod.array(zod.tuple([zod.string(), desiredWeights])),
    softwareVersions: zod.array(zod.tuple([zod.string(), zod.array(zod.string())])).optional(),
    cacheSharing: zod.object({ since: zod.int().optional() }).optional(),
  }),
  zod.object({
    kind: zod.literal(PeerMessageKind.Broadcast),
    topic: zod.enum(controlPlane.PeerTopic),
    payload: zod.unknown(),
  }),
]);

export type PeerMessage = zod.infer<typeof peerMessageSchema>;

/** What a daemon sends to its peers each second, and at once after a change. */
export type Heartbeat = Extract<PeerMessage, { kind: PeerMessageKind.Heartbeat }>;
