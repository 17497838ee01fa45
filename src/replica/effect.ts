import type * as entry from './entry';
import type * as message from './message';

export enum EffectKind {
  Persist = 'persist',
  Send = 'send',
  Restore = 'restore',
  Apply = 'apply',
  Accept = 'accept',
  Reject = 'reject',
  Report = 'report',
}

/** All parts must be synced before any later effect is carried out. */
export interface Persist {
  readonly kind: EffectKind.Persist;
  readonly hardState?: entry.HardState;
  /** Entries above this index are dropped before `entries` are appended. */
  readonly truncateAfter?: number;
  readonly entries: readonly entry.Entry[];
  readonly snapshot?: entry.Snapshot;
  /** Entries up to this index may be deleted. */
  readonly compactTo?: number;
}

export interface Send {
  readonly kind: EffectKind.Send;
  readonly message: message.Message;
}

/** Replaces the state machine's state. */
export interface Restore {
  readonly kind: EffectKind.Restore;
  readonly snapshot: entry.Snapshot;
}

/** Committed entries, in order, each once. */
export interface Apply {
  readonly kind: EffectKind.Apply;
  readonly entries: readonly entry.Entry[];
}

/**
 * A proposal was appended to the log; it is committed if the entry at this index is applied with this term.
 */
export interface Accept {
  readonly kind: EffectKind.Accept;
  readonly proposalId: string;
  readonly index: number;
  readonly term: number;
}

/** A proposal was rejected because this replica is not the leader. */
export interface Reject {
  readonly kind: EffectKind.Reject;
  readonly proposalId: string;
}

export enum Notice {
  BecameLeader = 'became leader',
  SteppedDown = 'stepped down',
  QuorumLost = 'stepped down: no majority answered within an election timeout',
  GroupBootstrapped = 'bootstrapped the replica group',
  GroupChanged = 'voters change',
  GroupCommitted = 'change of voters is committed',
  ReplicasDiffer = 'another daemon has other initial replica addresses; no group is bootstrapped',
  CommittedConflict = 'an entry of the leader differs from a committed one; the replica stops',
}

/** A line for the daemon's log output, not for the replicated log. */
export interface Report {
  readonly kind: EffectKind.Report;
  readonly notice: Notice;
  readonly term: number;
  readonly detail?: string;
}

export type ReplicaEffect = Persist | Send | Restore | Apply | Accept | Reject | Report;
