/** One replica: a random identity that is stored on its disk, and its address. */
export interface Member {
  readonly replicaId: string;
  /** `host:port` of the daemon that hosts the replica. */
  readonly address: string;
}

/** The voters, a majority of which elects leaders and commits entries. */
export interface Group {
  readonly voters: readonly Member[];
  /** Addresses of learners that are to replace a removed voter and are not voters yet. */
  readonly awaited?: readonly string[];
}

export enum EntryKind {
  /** Carries the bytes of a proposal. */
  Command = 'command',
  /** Carries the voters that apply from this entry on. */
  Group = 'group',
  /** Carries no data; a new leader commits the entries of earlier terms with it. */
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

/** State that must be on disk before any message that depends on it is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor?: string;
}
