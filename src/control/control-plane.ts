import type * as results from 'ts-results';
import * as configuration from '../configuration';
import * as command from './command';
import type * as orderHistory from './order-history';
import type * as registers from './register';

/** Why a proposal has no result. A proposal that failed may still be committed later. */
export enum ProposalFailure {
  NoLeader = 'no-leader',
  Timeout = 'timeout',
  Closed = 'closed',
}

/** Topics of the messages that daemons exchange outside the log. */
export enum PeerTopic {
  Membership = 'membership',
  Quarantine = 'quarantine',
  /** Which prompt parts were in flight at crashes. */
  CrashEvidence = 'crash-evidence',
  /** Limits of requests that backend servers have named. */
  RequestLimits = 'request-limits',
  /** The platform's machine list, read by one daemon for all. */
  Machines = 'machines',
  /** Requests in flight at backend servers. */
  Load = 'load',
  /** Gateways that take the requests of others. */
  Gateways = 'gateways',
}

export enum ReplicaRole {
  /** The daemon has no data folder. */
  None = 'none',
  Learner = 'learner',
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
}

export interface PeerStatus {
  readonly daemonId: string;
  readonly address: string;
  readonly zone: string;
  /** Highest revision that the peer reported as applied. */
  readonly revision: number;
  readonly connected: boolean;
  readonly millisecondsSinceHeard: number;
}

/** The role of a daemon's replica and its lease. */
export interface Leadership {
  readonly role: ReplicaRole;
  readonly term: number;
  /** How long a leader may still act outside the log, as in `replica.leaseRemaining`. */
  readonly leaseRemainingMilliseconds?: number;
}

export interface ControlStatus extends Leadership {
  readonly daemonId: string;
  readonly zone: string;
  readonly replicaId?: string;
  readonly leaderReplicaId?: string;
  readonly commitIndex: number;
  readonly voters: readonly string[];
  readonly revision: number;
  readonly peers: readonly PeerStatus[];
}

/**
 * Access to the state that daemons share. The routing package claims keys through it, the operator endpoints
 * publish through it, and membership and quarantine exchange messages with their peers over it.
 */
export abstract class ControlPlane {
  /**
   * Writes a command to the replicated log and returns its result once a majority has it on disk.
   * `Err` leaves open whether the command will be committed.
   *
   * @example
   * const result = await plane.propose({ kind: CommandKind.Claim, team, key, attemptId, fingerprint, daemonId }, 2_000);
   */
  abstract propose(
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<results.Result<command.CommandResult, ProposalFailure>>;

  /** The newest committed configuration that this daemon has received. Its revision never decreases. */
  abstract configuration(): configuration.ConfigurationSnapshot;

  /** Calls `listener` on each higher revision; returns a function that ends the subscription. */
  abstract onConfiguration(
    listener: (snapshot: configuration.ConfigurationSnapshot) => void,
  ): () => void;

  /**
   * The newest committed register (routing document and desired weights versions) that this daemon has received.
   * Its sequence never decreases.
   */
  abstract register(): registers.Register;

  /** Calls `listener` on each newer register; returns a function that ends the subscription. */
  abstract onRegister(listener: (register: registers.Register) => void): () => void;

  /**
   * Upper bound of the age of this daemon's configuration and register in milliseconds: all that was acknowledged to an
   * operator before that is included. Infinite if it is unknown.
   *
   * @example
   * const isKnownToBeAbsent = route === undefined && plane.copyAgeMilliseconds() < 2_500;
   */
  abstract copyAgeMilliseconds(): number;

  /**
   * Calls `listener` with the number of daemons, now if it is known and at each change. Daemons that were lost lately
   * count. The number is what the daemons with replicas report, so that one that is cut off keeps the last one.
   */
  abstract onDaemonCount(listener: (daemons: number) => void): () => void;

  /** The recent orders to engines in the part of the log that this daemon has applied. */
  abstract orderHistory(): orderHistory.OrderHistory;

  /** Sends `payload` to every connected peer daemon, without waiting and without a guarantee of delivery. */
  abstract broadcast(topic: PeerTopic, payload: unknown): void;

  /**
   * Sends `payload` to one peer daemon if it is connected, without waiting and without a guarantee of
   * delivery.
   */
  abstract send(daemonId: string, topic: PeerTopic, payload: unknown): void;

  /**
   * Sends `payload` to the leader only, where the listeners of `onBroadcast` receive it. Returns false when
   * this daemon leads or has no link to a leader.
   */
  abstract sendToLeader(topic: PeerTopic, payload: unknown): boolean;

  /** Calls `listener` for each message that a peer broadcasts or sends to this daemon; the payload is unchecked data. */
  abstract onBroadcast(
    topic: PeerTopic,
    listener: (payload: unknown, fromDaemonId: string) => void,
  ): () => void;

  abstract status(): ControlStatus;

  /** The part of the status that is read many times a second; does not iterate over the peers. */
  abstract leadership(): Leadership;

  /** Resolves once the highest revision of the reachable peers is applied, or a time limit has passed. */
  abstract ready(): Promise<void>;

  abstract close(): Promise<void>;
}
