import * as immutable from 'immutable';
import type * as entry from './entry';
import * as logs from './log';

export enum Role {
  /** Not a voter: receives the log or searches for a group. */
  Learner = 'learner',
  Follower = 'follower',
  /** Asks the voters whether it could win an election. */
  PreCandidate = 'pre-candidate',
  Candidate = 'candidate',
  Leader = 'leader',
  /** The storage failed; the replica neither votes nor acknowledges. */
  Stopped = 'stopped',
}

/** Timeouts and sizes of a replica. */
export interface Parameters {
  /** Election timeouts are random between this and twice this. */
  readonly electionTimeoutMilliseconds: number;
  readonly heartbeatMilliseconds: number;
  /** How often a replica without a leader asks for a group. */
  readonly discoverMilliseconds: number;
  readonly maximumAppendEntries: number;
  readonly maximumAppendBytes: number;
  readonly snapshotChunkBytes: number;
  /**
   * Learners become voters until there are this many; 0 keeps the number with which the group was
   * bootstrapped.
   */
  readonly targetVoters: number;
  /** Silence after which a learner at another address may replace a voter; 0 for never. */
  readonly replaceMilliseconds: number;
  /**
   * Number of entries before a snapshot's index that stay in the log, so that a replica that lags a little needs
   * no snapshot.
   */
  readonly trailingEntries: number;
  /** Bound on the bytes of these entries, which stay in memory and on the disk. */
  readonly trailingBytes: number;
}

/**
 * With one-way delays of up to 8 ms between regions and a few milliseconds for a sync, 500 ms is far above
 * the duration of a normal round, and a new leader is elected about 1 s after the old one stopped.
 */
export const DEFAULT_PARAMETERS: Parameters = {
  electionTimeoutMilliseconds: 500,
  heartbeatMilliseconds: 100,
  discoverMilliseconds: 250,
  maximumAppendEntries: 256,
  maximumAppendBytes: 1_024 * 1_024,
  snapshotChunkBytes: 1_024 * 1_024,
  trailingEntries: 200,
  trailingBytes: 2 * 1_024 * 1_024,
  targetVoters: 0,
  replaceMilliseconds: 0,
};

/** The state of replication to one replica, at the leader. Times are monotonic milliseconds. */
export interface Progress {
  readonly member: entry.Member;
  readonly nextIndex: number;
  readonly matchIndex: number;
  readonly lastContactAt: number;
  /** When the latest answered message was sent; the replica supports the lease from this time. */
  readonly acknowledgedAt?: number;
  /** When entries or a snapshot chunk were sent that are not answered yet. */
  readonly sentAt?: number;
  readonly snapshotIndex?: number;
  readonly snapshotOffset: number;
}

/** A snapshot that arrives in chunks. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly chunks: immutable.List<Uint8Array>;
  readonly receivedBytes: number;
}

/** The answer of an initial replica address to a replica without a group. */
export interface DiscoverAnswer {
  readonly member: entry.Member;
  readonly empty: boolean;
  readonly sameReplicas: boolean;
  readonly receivedAt: number;
}

/** An attempt of a replica without a group to form it. */
export interface Formation {
  /** The term of the election; the attempt ends with it. */
  readonly term: number;
  /** Votes that arrive later do not count, since a disk may be lost meanwhile. */
  readonly endsAt: number;
  /** The other initial replicas that granted their vote, by address. */
  readonly grants: immutable.Map<string, entry.Member>;
}

/** The group that applies from `index` on. */
export interface GroupAt {
  readonly index: number;
  readonly group: entry.Group;
}

/** The state of one replica. Times are monotonic milliseconds. */
export interface ReplicaState {
  readonly self: entry.Member;
  readonly parameters: Parameters;
  /** Sorted addresses of the initial replicas. */
  readonly replicas: readonly string[];
  /** Whether this replica may bootstrap a group; false after the first start of a deployment. */
  readonly mayBootstrap: boolean;
  readonly role: Role;
  readonly term: number;
  readonly votedFor?: string;
  readonly leader?: entry.Member;
  readonly log: logs.Log;
  readonly snapshot?: entry.Snapshot;
  /** Groups in the log and in the snapshot, the current one last. */
  readonly groups: immutable.List<GroupAt>;
  readonly commitIndex: number;
  /**
   * Whether this replica has had, since its start, all that was committed when a leader committed an entry of its
   * own term. Before that, a disk may be older than what others have acknowledged.
   */
  readonly isCaughtUp: boolean;
  readonly leaderContactAt: number;
  readonly electionDeadline: number;
  readonly nextHeartbeatAt: number;
  readonly nextDiscoverAt: number;
  /** Ids of the voters that granted the current pre-vote or vote. */
  readonly grants: immutable.Set<string>;
  /** Only filled at the leader; learners included. */
  readonly progress: immutable.Map<string, Progress>;
  /** Answers to `Discover`, by address. */
  readonly answers: immutable.Map<string, DiscoverAnswer>;
  /** Whether this replica may form a group, and all initial replicas have recently answered that they are in none. */
  readonly isAgreed: boolean;
  /** Not stored: after a restart, the votes of an earlier attempt count no more. */
  readonly formation?: Formation;
  readonly incoming?: IncomingSnapshot;
}

/** The state of a replica on its disk. */
export interface DurableState {
  readonly hardState: entry.HardState;
  readonly snapshot?: entry.Snapshot;
  readonly entries: readonly entry.Entry[];
}

export const EMPTY_DURABLE_STATE: DurableState = { hardState: { term: 0 }, entries: [] };

/** Input of `restore`. */
export interface RestoreOptions {
  readonly self: entry.Member;
  readonly replicas: readonly string[];
  /** False when a group exists already, so that a lost disk never starts another one; by default true. */
  readonly mayBootstrap?: boolean;
  readonly durable: DurableState;
  readonly now: number;
  readonly random: number;
  readonly parameters?: Partial<Parameters>;
}

/**
 * The state of a replica after a start.
 *
 * @example
 * const state = restore({ self, replicas, durable: EMPTY_DURABLE_STATE, now: 0, random: 0.5 });
 */
export function restore(options: RestoreOptions): ReplicaState {
  const { self, durable, now } = options;
  const { snapshot, hardState } = durable;
  const parameters = { ...DEFAULT_PARAMETERS, ...options.parameters };
  const log = restoreLog(durable);
  const groups = restoreGroups(snapshot, log);
  const isMember = groups.last()?.group.voters.some((voter) => voter.replicaId === self.replicaId);
  return {
    self,
    parameters,
    replicas: [...options.replicas].sort(),
    mayBootstrap: options.mayBootstrap ?? true,
    role: isMember === true ? Role.Follower : Role.Learner,
    term: hardState.term,
    votedFor: hardState.votedFor,
    log,
    snapshot,
    groups,
    commitIndex: snapshot?.index ?? 0,
    isCaughtUp: false,
    leaderContactAt: Number.NEGATIVE_INFINITY,
    electionDeadline: now + parameters.electionTimeoutMilliseconds * (1 + options.random),
    nextHeartbeatAt: now,
    nextDiscoverAt: now,
    grants: immutable.Set(),
    progress: immutable.Map(),
    answers: immutable.Map(),
    isAgreed: false,
  };
}

/**
 * The stored entries that agree with the snapshot: all or none of them. When a disk is full, or a process ends,
 * between the writing of a received snapshot and that of the log, the log may contradict the snapshot. Such entries must be
 * removed before others are appended, since the log would not show where the others begin.
 *
 * @example
 * entriesInForce([entry1, entry2], snapshotAt9); // []
 */
export function entriesInForce(
  entries: readonly entry.Entry[],
  snapshot: entry.Snapshot | undefined,
): readonly entry.Entry[] {
  const isContinued =
    snapshot === undefined ||
    entries[0]?.index === snapshot.index + 1 ||
    entries.some(({ index, term }) => index === snapshot.index && term === snapshot.term);
  return isContinued ? entries : [];
}

/** The current voters: those of the latest group entry, committed or not. */
export function voters(state: ReplicaState): readonly entry.Member[] {
  return state.groups.last()?.group.voters ?? [];
}

/** The voters of the latest group entry up to the commit index of this replica. */
export function committedVoters(state: ReplicaState): readonly entry.Member[] {
  const committed = state.groups.filter((change) => change.index <= state.commitIndex);
  return committed.last()?.group.voters ?? [];
}

/** Addresses of learners that will replace a removed voter. */
export function pendingVoterAddresses(state: ReplicaState): readonly string[] {
  return state.groups.last()?.group.awaited ?? [];
}

export function isVoter(state: ReplicaState, replicaId: string): boolean {
  return voters(state).some((voter) => voter.replicaId === replicaId);
}

/** Whether the replicas for which `holds` is true are a majority of the voters. */
export function isMajority(state: ReplicaState, holds: (replicaId: string) => boolean): boolean {
  const members = voters(state);
  const count = members.filter((voter) => holds(voter.replicaId)).length;
  return count * 2 > members.length;
}

/** Whether the replica has never been in a group. An attempt to form one raises the term, so that it shows no group. */
export function isEmpty(state: ReplicaState): boolean {
  return logs.lastIndex(state.log) === 0;
}

/** The group history when the entries up to `index` remain and those of `added` follow. */
export function groupsAfter(
  groups: immutable.List<GroupAt>,
  index: number,
  added: readonly entry.Entry[],
): immutable.List<GroupAt> {
  const kept = groups.filter((change) => change.index <= index);
  const appended = added.flatMap((next) =>
    next.group === undefined ? [] : [{ index: next.index, group: next.group }],
  );
  return kept.concat(appended);
}

function restoreLog(durable: DurableState): logs.Log {
  const { snapshot, entries } = durable;
  if (snapshot === undefined) {
    return logs.append(logs.EMPTY_LOG, entries);
  }
  const base: logs.Log = {
    baseIndex: snapshot.index,
    baseTerm: snapshot.term,
    baseTimestamp: snapshot.timestamp,
    entries: immutable.List(),
  };
  const continued = entriesInForce(entries, snapshot).filter(({ index }) => index > snapshot.index);
  return logs.append(base, continued);
}

function restoreGroups(
  snapshot: entry.Snapshot | undefined,
  log: logs.Log,
): immutable.List<GroupAt> {
  const start =
    snapshot === undefined
      ? immutable.List<GroupAt>()
      : immutable.List([{ index: snapshot.index, group: snapshot.group }]);
  const after = log.entries.filter((next) => next.index > (snapshot?.index ?? 0));
  return groupsAfter(start, snapshot?.index ?? 0, after.toArray());
}
