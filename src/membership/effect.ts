import type * as report from './report';

export enum MembershipEffectKind {
  Probe = 'probe',
  ReportToPeers = 'report-to-peers',
  ServerCrashed = 'server-crashed',
}

/** Probe the server on a new connection; the outcome is a later event. */
export interface Probe {
  readonly kind: MembershipEffectKind.Probe;
  readonly serverId: string;
}

/** Broadcast an observation of this daemon to its peers. */
export interface ReportToPeers {
  readonly kind: MembershipEffectKind.ReportToPeers;
  readonly report: report.MembershipReport;
}

/** The server's incarnation changed or its probes failed: the requests that ran on it are lost. */
export interface ServerCrashed {
  readonly kind: MembershipEffectKind.ServerCrashed;
  readonly serverId: string;
  /** The process runs and sends malformed answers, so no request counts as the cause of a crash. */
  readonly isProcessAlive?: true;
  /** Set if the server must not get new requests until a probe succeeds. */
  readonly isDead?: true;
}

export type MembershipEffect = Probe | ReportToPeers | ServerCrashed;
