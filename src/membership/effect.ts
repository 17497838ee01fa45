import type * as report from './report';

export enum MembershipEffectKind {
  Probe = 'probe',
  ReportToPeers = 'report-to-peers',
  ServerCrashed = 'server-crashed',
}

/** Ask the server on a new connection; the answer comes back as an event. */
export interface Probe {
  readonly kind: MembershipEffectKind.Probe;
  readonly serverId: string;
}

/** Broadcast an observation of this daemon. */
export interface ReportToPeers {
  readonly kind: MembershipEffectKind.ReportToPeers;
  readonly report: report.MembershipReport;
}

/** The server's incarnation changed or its probes failed: what ran on it is lost. */
export interface ServerCrashed {
  readonly kind: MembershipEffectKind.ServerCrashed;
  readonly serverId: string;
  /** The process lives and sends malformed answers, so that no request is to blame. */
  readonly lives?: true;
}

export type MembershipEffect = Probe | ReportToPeers | ServerCrashed;
