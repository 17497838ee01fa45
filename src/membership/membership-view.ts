import * as immutable from 'immutable';
import * as backend from '../backend';

/** Backend servers as the router uses them: the platform's list merged with what was observed. */
export interface EligibleServer extends backend.MachineRecord {
  /** Last incarnation seen, if any. */
  readonly incarnation?: string;
  /** Weights version of the last answered probe, if any; empty for a plain service. */
  readonly weightsVersion?: string;
  /** Set while the server loads weights and refuses every request. */
  readonly loading?: true;
  /** True while probes decide whether the server is dead; used only when no other server is left. */
  readonly suspected: boolean;
}

/** What probes say about a server. */
export enum ServerCondition {
  Alive = 'alive',
  /** A connection failed or a peer had doubts; the next probe decides. */
  Suspected = 'suspected',
  /** Probes on new connections failed. */
  Dead = 'dead',
}

/** Who said that a server is leaving. */
export enum LeavingSource {
  /** A refusal, a probe or the platform's list, as seen by this daemon. */
  Own = 'own',
  Peer = 'peer',
}

/** A server is leaving. The mark holds for one incarnation, so that a restarted server is used again. */
export interface LeavingMark {
  /** Unknown when the server was never heard from. */
  readonly incarnation?: string;
  readonly source: LeavingSource;
  readonly markedAt: number;
  /** Last time that the peers were told. */
  readonly reportedAt: number;
}

/** Everything known about one backend server. Times are monotonic milliseconds. */
export interface ServerState {
  readonly machine: backend.MachineRecord;
  readonly condition: ServerCondition;
  readonly incarnation?: string;
  /** The incarnation before; what still arrives from it is ignored. */
  readonly previousIncarnation?: string;
  readonly weightsVersion?: string;
  readonly loading?: boolean;
  /** Last refusal that led to a probe. */
  readonly refusedAt?: number;
  readonly leaving?: LeavingMark;
  /** Faulty answers that followed each other closely. */
  readonly faults?: number;
  readonly faultAt?: number;
  readonly failedProbes: number;
  readonly suspectedAt: number;
  /** Set while a probe is running. */
  readonly probeStartedAt?: number;
  readonly nextProbeAt: number;
}

/** State of the membership core. */
export interface MembershipView {
  /** Whether servers that nobody suspects are probed now and then. */
  readonly probesPeriodically: boolean;
  readonly servers: immutable.Map<string, ServerState>;
}

/** The view before the platform's list was read. */
export const EMPTY_VIEW: MembershipView = { probesPeriodically: true, servers: immutable.Map() };

/**
 * The servers that may get new work, in the order of their ids.
 *
 * @example
 * const servers = membership.eligible(view).filter((server) => server.service === 'inspection-desk');
 */
export function eligible(view: MembershipView): readonly EligibleServer[] {
  return view.servers
    .valueSeq()
    .filter(mayWork)
    .map(toEligible)
    .sortBy((server) => server.id)
    .toArray();
}

/**
 * Every server of the platform's list, dead and leaving ones too, in the order of their ids.
 *
 * @example
 * listed(view).length >= eligible(view).length; // true
 */
export function listed(view: MembershipView): readonly backend.MachineRecord[] {
  return view.servers
    .valueSeq()
    .map((server) => server.machine)
    .sortBy((machine) => machine.id)
    .toArray();
}

/**
 * One server as `eligible` has it; `undefined` when it must not get new work.
 *
 * @example
 * eligibleServer(view, 'desk-1')?.suspected;
 */
export function eligibleServer(view: MembershipView, id: string): EligibleServer | undefined {
  const server = view.servers.get(id);
  return server !== undefined && mayWork(server) ? toEligible(server) : undefined;
}

/**
 * Whether a server must not get new work because it is leaving.
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

function mayWork(server: ServerState): boolean {
  return server.condition !== ServerCondition.Dead && !isLeaving(server);
}

function toEligible(server: ServerState): EligibleServer {
  return {
    ...server.machine,
    ...(server.incarnation === undefined ? {} : { incarnation: server.incarnation }),
    ...(server.weightsVersion === undefined ? {} : { weightsVersion: server.weightsVersion }),
    ...(server.loading === true ? { loading: true as const } : {}),
    suspected: server.condition === ServerCondition.Suspected,
  };
}
