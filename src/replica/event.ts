import type * as message from './message';

export enum EventKind {
  Tick = 'tick',
  Receive = 'receive',
  Propose = 'propose',
  SnapshotTaken = 'snapshot-taken',
  Resign = 'resign',
  StorageFailed = 'storage-failed',
}

/** The clocks and the random number of one event. */
export interface EventContext {
  /** Monotonic milliseconds, for timeouts. */
  readonly now: number;
  /** Milliseconds since the Unix epoch, for the time stamps of entries. */
  readonly wallClock: number;
  /** Uniform from 0 (included) to 1 (excluded), for election timeouts. */
  readonly random: number;
}

export interface Tick extends EventContext {
  readonly kind: EventKind.Tick;
  /** Address of the leader that other daemons report, for a replica that receives nothing from it. */
  readonly leaderAddress?: string;
}

export interface Receive extends EventContext {
  readonly kind: EventKind.Receive;
  readonly message: message.Message;
}

export interface Proposal {
  readonly proposalId: string;
  readonly data: Uint8Array;
}

export interface Propose extends EventContext {
  readonly kind: EventKind.Propose;
  readonly proposals: readonly Proposal[];
}

/** The adapter has serialised the state machine after applying the entry at `index`. */
export interface SnapshotTaken extends EventContext {
  readonly kind: EventKind.SnapshotTaken;
  readonly index: number;
  readonly data: Uint8Array;
}

/** The daemon is about to stop. */
export interface Resign extends EventContext {
  readonly kind: EventKind.Resign;
}

/** A write could not be made durable; the replica stops. */
export interface StorageFailed extends EventContext {
  readonly kind: EventKind.StorageFailed;
}

export type ReplicaEvent = Tick | Receive | Propose | SnapshotTaken | Resign | StorageFailed;
