import type * as entry from './entry';

export enum MessageKind {
  PreVote = 'pre-vote',
  PreVoteReply = 'pre-vote-reply',
  Vote = 'vote',
  VoteReply = 'vote-reply',
  Append = 'append',
  AppendReply = 'append-reply',
  Snapshot = 'snapshot',
  SnapshotReply = 'snapshot-reply',
  Discover = 'discover',
  DiscoverReply = 'discover-reply',
  Join = 'join',
  ElectNow = 'elect-now',
}

/** Fields of every message. */
export interface Envelope {
  readonly from: entry.Member;
  readonly toAddress: string;
  /**
   * The id of the receiving replica. A replica with another id at the same address ignores the message,
   * because it does not have the log that the sender expects there. Absent while the id is unknown.
   */
  readonly toId?: string;
  readonly term: number;
}

/** Asks whether an election in the term after `term` could be won; changes no durable state. */
export interface PreVote extends Envelope {
  readonly kind: MessageKind.PreVote;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface PreVoteReply extends Envelope {
  readonly kind: MessageKind.PreVoteReply;
  /** The term of the requested election. */
  readonly proposedTerm: number;
  readonly granted: boolean;
}

export interface Vote extends Envelope {
  readonly kind: MessageKind.Vote;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteReply extends Envelope {
  readonly kind: MessageKind.VoteReply;
  readonly granted: boolean;
}

/** Entries after `previousIndex`; without entries, a heartbeat. */
export interface Append extends Envelope {
  readonly kind: MessageKind.Append;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly entry.Entry[];
  readonly commitIndex: number;
  /** Monotonic time of the leader when it sent the message; echoed in the reply, for the lease. */
  readonly leaderTime?: number;
}

export interface AppendReply extends Envelope {
  readonly kind: MessageKind.AppendReply;
  readonly success: boolean;
  /**
   * On success the last index up to which the logs are equal; otherwise the index that the leader should try
   * next.
   */
  readonly matchIndex: number;
  readonly heartbeat: boolean;
  /** Copied from the message that this reply answers. */
  readonly leaderTime?: number;
}

/** One chunk of a snapshot, which may be longer than a frame. */
export interface SnapshotChunk extends Envelope {
  readonly kind: MessageKind.Snapshot;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly timestamp: number;
  readonly group: entry.Group;
  readonly offset: number;
  readonly totalBytes: number;
  readonly data: Uint8Array;
}

export interface SnapshotReply extends Envelope {
  readonly kind: MessageKind.SnapshotReply;
  readonly index: number;
  /** Offset of the chunk that this reply answers. */
  readonly offset: number;
  readonly receivedBytes: number;
  /** The snapshot is on disk, or its entries were already committed here. */
  readonly installed: boolean;
}

/** A replica without a group asks the others whether they belong to one. */
export interface Discover extends Envelope {
  readonly kind: MessageKind.Discover;
  /** Sorted addresses of the initial replicas, which must be the same on both sides. */
  readonly replicas: readonly string[];
}

export interface DiscoverReply extends Envelope {
  readonly kind: MessageKind.DiscoverReply;
  /** The replica has never been in a group. */
  readonly empty: boolean;
  readonly sameReplicas: boolean;
}

/** A replica that is not a voter requests the log from the leader. */
export interface Join extends Envelope {
  readonly kind: MessageKind.Join;
}

/**
 * A leader that is about to stop asks a follower with the whole log to start an election at once (TimeoutNow
 * in Raft).
 */
export interface ElectNow extends Envelope {
  readonly kind: MessageKind.ElectNow;
}

export type Message =
  | PreVote
  | PreVoteReply
  | Vote
  | VoteReply
  | Append
  | AppendReply
  | SnapshotChunk
  | SnapshotReply
  | Discover
  | DiscoverReply
  | Join
  | ElectNow;

/** A message without the fields of `Envelope`, which are added when it is sent. */
export type Body = Message extends infer Single
  ? Single extends Message
    ? Omit<Single, keyof Envelope>
    : never
  : never;
