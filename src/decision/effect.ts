import * as verdict from '../verdict';

export enum DecisionEffectKind {
  Dispatch = 'dispatch',
  CancelAttempt = 'cancel-attempt',
  Fail = 'fail',
  ReportCrash = 'report-crash',
}

/** Send the request to a server. The adapter answers with events that carry `attemptId`. */
export interface Dispatch {
  readonly kind: DecisionEffectKind.Dispatch;
  readonly requestId: string;
  readonly attemptId: string;
  readonly serverId: string;
  /** First piece wanted; above 0 the attempt resumes a broken stream. */
  readonly resumeFrom: number;
  /** True for a second attempt that races the first; the first one to deliver a piece wins. */
  readonly hedge: boolean;
  readonly queuedMilliseconds: number;
  readonly expectedCachedTokens: number;
  /** Another server that probably has more of the prompt cached, to copy it from. */
  readonly cacheSource?: string;
}

/** Abort an attempt that lost a race or whose request is over. */
export interface CancelAttempt {
  readonly kind: DecisionEffectKind.CancelAttempt;
  readonly requestId: string;
  readonly attemptId: string;
}

/** End the request with a failure; nothing of it is running any more. */
export interface Fail {
  readonly kind: DecisionEffectKind.Fail;
  readonly requestId: string;
  readonly failure: verdict.RequestFailure;
}

/** Tell the peers which fingerprints were in flight when a server crashed. */
export interface ReportCrash {
  readonly kind: DecisionEffectKind.ReportCrash;
  readonly crashId: string;
  readonly serverId: string;
  readonly fingerprints: readonly string[];
}

export type DecisionEffect = Dispatch | CancelAttempt | Fail | ReportCrash;
