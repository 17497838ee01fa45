import * as backend from '../backend';
import type * as report from './report';

export enum MembershipEventKind {
  ListRead = 'list-read',
  RefusedAsLeaving = 'refused-as-leaving',
  AnsweredAsLeaving = 'answered-as-leaving',
  Refused = 'refused',
  Paused = 'paused',
  ConnectionFailed = 'connection-failed',
  AnswerMalformed = 'answer-faulty',
  IncarnationObserved = 'incarnation-seen',
  ProbeSucceeded = 'probe-succeeded',
  ProbeFailed = 'probe-failed',
  PeerReported = 'peer-reported',
  Tick = 'tick',
}

interface EventBase {
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

interface ServerEvent extends EventBase {
  readonly serverId: string;
}

/** The platform's machine list was read; it replaces the set of servers, not the observations of them. */
export interface ListRead extends EventBase {
  readonly kind: MembershipEventKind.ListRead;
  readonly machines: readonly backend.MachineRecord[];
}

/** A server refused a request because it is leaving. */
export interface RefusedAsLeaving extends ServerEvent {
  readonly kind: MembershipEventKind.RefusedAsLeaving;
}

/** An answer of any kind said that its server leaves. */
export interface AnsweredAsLeaving extends ServerEvent {
  readonly kind: MembershipEventKind.AnsweredAsLeaving;
  /** Address to which the call was sent. */
  readonly host: string;
  readonly port: number;
  /** Run of the server's process that was known when the call was sent; absent if none was. */
  readonly incarnation?: string;
}

/** A server refused a request for another reason; it may be loading weights. */
export interface Refused extends ServerEvent {
  readonly kind: MembershipEventKind.Refused;
}

/** A server wants nothing of this daemon for a time. */
export interface Paused extends ServerEvent {
  readonly kind: MembershipEventKind.Paused;
  readonly pauseMilliseconds: number;
  /** The run of the server's process that said so; absent if it is unknown. */
  readonly incarnation?: string;
}

/** A connection attempt failed, a connection broke, or nothing arrived on it for too long. */
export interface ConnectionFailed extends ServerEvent {
  readonly kind: MembershipEventKind.ConnectionFailed;
}

/** A server sent a malformed answer. */
export interface AnswerMalformed extends ServerEvent {
  readonly kind: MembershipEventKind.AnswerMalformed;
}

/** An answer or a report contained the server's incarnation. */
export interface IncarnationObserved extends ServerEvent {
  readonly kind: MembershipEventKind.IncarnationObserved;
  readonly incarnation: string;
}

/** A probe on a new connection was answered. */
export interface ProbeSucceeded extends ServerEvent {
  readonly kind: MembershipEventKind.ProbeSucceeded;
  readonly startedAt: number;
  /** Absent if the answer does not name the run of the server's process. */
  readonly incarnation?: string;
  /** Absent for a plain service, and if an engine does not name its weights. */
  readonly weightsVersion?: string;
  readonly leaving: boolean;
  readonly loading?: boolean;
  /** Uniform from 0 to 1; spreads the next probes of many daemons over time. */
  readonly jitter: number;
}

/** A probe on a new connection was not answered. */
export interface ProbeFailed extends ServerEvent {
  readonly kind: MembershipEventKind.ProbeFailed;
  /** The server sent a malformed answer, so its process runs. */
  readonly answeredMalformed?: true;
  /** The daemon reaches no server, so that the failure says nothing about this one. */
  readonly isInconclusive?: boolean;
  readonly startedAt: number;
  readonly jitter: number;
}

/** Another daemon reported an observation. */
export interface PeerReported extends EventBase {
  readonly kind: MembershipEventKind.PeerReported;
  readonly report: report.MembershipReport;
}

/** Time has passed; sent every 100 ms. */
export interface Tick extends EventBase {
  readonly kind: MembershipEventKind.Tick;
}

export type MembershipEvent =
  | ListRead
  | RefusedAsLeaving
  | AnsweredAsLeaving
  | Refused
  | Paused
  | ConnectionFailed
  | AnswerMalformed
  | IncarnationObserved
  | ProbeSucceeded
  | ProbeFailed
  | PeerReported
  | Tick;
