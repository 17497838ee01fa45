import * as immutable from 'immutable';
import * as backend from '../backend';

/**
 * A backend server that may get new requests: its entry in the platform's list and what was observed of it.
 */
export interface EligibleServer extends backend.MachineRecord {
  /** Last observed incarnation, if any. */
  readonly incarnation?: string;
  /** Last weights version that the list or a probe named; absent for a plain service. */
  readonly weightsVersion?: string;
  /** Set while the server loads weights and refuses every request. */
  readonly loading?: true;
  /** Set if the server counts as loading only because it has refused a request. */
  readonly isLoadingPresumed?: true;
  /**
   * True while probes check whether the server is dead; it is then used only when no other server is left.
   */
  readonly suspected: boolean;
}

/** The condition of a server according to its probes. */
export enum ServerCondition {
  Alive = 'alive',
  /** A connection, an answer or a probe failed; the next probe decides. */
  Suspected = 'suspected',
  /** Probes on new connections failed. */
  Dead = 'dead',
}

/** The source of the information that a server is leaving. */
export enum LeavingSource {
  /** A refusal, a probe or the platform's list, as observed by this daemon. */
  Own = 'own',
  /** An answer to this daemon; the other daemons hear it from their own answers, so that it is reported once. */
  Answer = 'answer',
  Peer = 'peer',
}

/**
 * Marks a server as leaving. The mark applies to one incarnation, so that a restarted server is used again.
 */
export interface LeavingMark {
  /** Absent when no incarnation of the server was observed. */
  readonly incarnation?: string;
  readonly source: LeavingSource;
  readonly markedAt: number;
  /** Time of the last report to the peers. */
  readonly reportedAt: number;
}

/** The mark of a server that is no longer listed. */
export interface RemovedMark {
  readonly mark: LeavingMark;
  readonly address: Pick<backend.MachineRecord, 'host' | 'port'>;
  readonly incarnation?: string;
  readonly previousIncarnation?: string;
  readonly removedAt: number;
}

/** The state of one backend server. Times are monotonic milliseconds. */
export interface ServerState {
  readonly machine: backend.MachineRecord;
  readonly condition: ServerCondition;
  readonly incarnation?: string;
  /** The incarnation before; late answers and reports of it are ignored. */
  readonly previousIncarnation?: string;
  readonly weightsVersion?: string;
  readonly loading?: boolean;
  /** Set while neither the list nor a probe says that the server loads weights. */
  readonly isLoadingPresumed?: true;
  /** Last refusal that led to a probe. */
  readonly refusedAt?: number;
  /** Until when the server, in its present incarnation, wants nothing of this daemon. */
  readonly pausedUntil?: number;
  readonly leaving?: LeavingMark;
  /** Malformed answers in quick succession. */
  readonly malformedAnswers?: number;
  readonly malformedAnswerAt?: number;
  readonly failedProbes: number;
  readonly suspectedAt: number;
  /** Set while a probe is running. */
  readonly probeStartedAt?: number;
  readonly nextProbeAt: number;
}

/** State of the membership core. */
export interface MembershipView {
  /** Whether servers that are not suspected are probed at intervals. */
  readonly probesPeriodically: boolean;
  readonly servers: immutable.Map<string, ServerState>;
  /** Marks of servers that are no longer listed, by id: an entry that was missing from one list has not started again. */
  readonly removed: immutable.Map<string, RemovedMark>;
}

/** The view before the platform's list was read. */
export const EMPTY_VIEW: MembershipView = {
  probesPeriodically: true,
  servers: immutable.Map(),
  removed: immutable.Map(),
};

/**
 * The servers that may get new requests, in the order of their ids.
 *
 * @example
 * const servers = membership.eligible(view).filter((server) => server.service === 'inspection-desk');
 */
export function eligible(view: MembershipView): readonly EligibleServer[] {
  return view.servers.valueSeq().filter(mayGetRequests).map(toEligible).toArray().sort(byId);
}

/**
 * Every server of the platform's list, including dead and leaving ones, in the order of their ids.
 *
 * @example
 * listed(view).length >= eligible(view).length; // true
 */
export function listed(view: MembershipView): readonly backend.MachineRecord[] {
  return view.servers
    .valueSeq()
    .map((server) => server.machine)
    .toArray()
    .sort(byId);
}

/**
 * One server as in the result of `eligible`; `undefined` when it must not get new requests.
 *
 * @example
 * eligibleServer(view, 'desk-1')?.suspected;
 */
export function eligibleServer(view: MembershipView, id: string): EligibleServer | undefined {
  const server = view.servers.get(id);
  return server !== undefined && mayGetRequests(server) ? toEligible(server) : undefined;
}

/**
 * Whether a server must not get new requests because it is leaving.
 *
 * @example
 * isLeaving({ ...server, incarnation: 'b', leaving: { ...mark, incarnation: 'a' } }); // false
 */
export function isLeaving(server: ServerState): boolean {
  const mark = server.leaving;
  if (server.machine.phase === backend.MachinePhase.Leaving) {
    return true;
  }
  return (
    mark !== undefined &&
    (mark.incarnation === undefined ||
      server.incarnation === undefined ||
      mark.incarnation === server.incarnation)
  );
}

function byId(left: backend.MachineRecord, right: backend.MachineRecord): number {
  return left.id < right.id ? -1 : Number(left.id > right.id);
}

function mayGetRequests(server: ServerState): boolean {
  return server.condition !== ServerCondition.Dead && !isLeaving(server);
}

/** The result of `toEligible` for each state, so that an unchanged server stays the same object. */
const eligibleByState = new WeakMap<ServerState, EligibleServer>();

function toEligible(server: ServerState): EligibleServer {
  const known = eligibleByState.get(server);
  if (known !== undefined) {
    return known;
  }
  const described = describe(server);
  eligibleByState.set(server, described);
  return described;
}

function describe(server: ServerState): EligibleServer {
  return {
    ...server.machine,
    ...(server.incarnation === undefined ? {} : { incarnation: server.incarnation }),
    ...(server.weightsVersion === undefined ? {} : { weightsVersion: server.weightsVersion }),
    ...(server.loading === true ? { loading: true as const } : {}),
    ...(server.isLoadingPresumed === true ? { isLoadingPresumed: true as const } : {}),
    suspected: server.condition === ServerCondition.Suspected,
  };
}
