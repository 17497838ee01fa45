/** One replica: a random identity that lives on its disk, and where it is reached. */
export interface Member {
  readonly replicaId: string;
  /** `host:port` of the daemon that hosts the replica. */
  readonly address: string;
}

/** The replicas whose majority decides. */
export interface Group {
  readonly voters: readonly Member[];
  /** Addresses of learners for whose sake a voter was removed and that are not voters yet. */
  readonly awaited?: readonly string[];
}

export enum EntryKind {
  /** Carries the bytes of a proposal. */
  Command = 'command',
  /** Carries the voters from this entry on. */
  Group = 'group',
  /** Carries nothing; a new leader commits the entries of earlier terms with it. */
  NoOperation = 'no-operation',
}

/** One record of the replicated log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  /** The leader's wall clock in milliseconds, never lower than that of the entry before. */
  readonly timestamp: number;
  readonly kind: EntryKind;
  readonly data?: Uint8Array;
  readonly group?: Group;
}

/** The state machine's state up to and including one entry. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly timestamp: number;
  readonly group: Group;
  readonly data: Uint8Array;
}

/** What must be on disk before any message that depends on it is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor?: string;
}
