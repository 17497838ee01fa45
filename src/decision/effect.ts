import * as verdict from '../verdict';

export enum DecisionEffectKind {
  Dispatch = 'dispatch',
  CancelAttempt = 'cancel-attempt',
  Fail = 'fail',
  ReportCrash = 'report-crash',
  ReportSafeBegin = 'report-safe-begin',
}

/** Send the request to a server. The adapter reports the result in events that carry `attemptId`. */
export interface Dispatch {
  readonly kind: DecisionEffectKind.Dispatch;
  readonly requestId: string;
  readonly attemptId: string;
  readonly serverId: string;
  /** Version of the server's software, if the list contains it. */
  readonly softwareVersion?: string;
  /** Number of the first piece to send; above 0 the attempt resumes a broken stream. */
  readonly resumeFrom: number;
  /** True for a second attempt while a late first one runs; the first one to deliver a piece continues. */
  readonly hedge: boolean;
  readonly queuedMilliseconds: number;
  readonly expectedCachedTokens: number;
  /** Server from which the chosen server copies cached blocks of the prompt. */
  readonly cacheSource?: string;
}

/** Abort an attempt because another attempt delivered first or the request has ended. */
export interface CancelAttempt {
  readonly kind: DecisionEffectKind.CancelAttempt;
  readonly requestId: string;
  readonly attemptId: string;
}

/** End the request with a failure; none of its attempts runs any more. */
export interface Fail {
  readonly kind: DecisionEffectKind.Fail;
  readonly requestId: string;
  readonly failure: verdict.RequestFailure;
}

/** Report to the peers which fingerprints were in flight when a server crashed. */
export interface ReportCrash {
  readonly kind: DecisionEffectKind.ReportCrash;
  readonly crashId: string;
  readonly serverId: string;
  readonly fingerprints: readonly string[];
  /** What the requests that the server had not begun to answer safely may have crashed it by. */
  readonly causes: readonly string[];
}

/** Report to the peers that answers with suspected causes began at the given time and went on. */
export interface ReportSafeBegin {
  readonly kind: DecisionEffectKind.ReportSafeBegin;
  readonly causes: readonly string[];
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

export type DecisionEffect = Dispatch | CancelAttempt | Fail | ReportCrash | ReportSafeBegin;
