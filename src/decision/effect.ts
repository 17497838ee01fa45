import * as verdict from '../verdict';

export enum DecisionEffectKind {
  Dispatch = 'dispatch',
  CancelAttempt = 'cancel-attempt',
  Fail = 'fail',
  AwaitRetry = 'await-retry',
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
  /**
   * Set if the request's run at another server goes on until this attempt delivers a piece. The adapter fails the attempt if
   * that takes too long.
   */
  readonly offer?: true;
  /**
   * Set if an offer may take any time, because the run at the other server delivers nothing. The adapter fails the offer when
   * that run delivers again.
   */
  readonly untimed?: true;
  readonly queuedMilliseconds: number;
  readonly expectedCachedTokens: number;
  /** Server from which the chosen server copies cached blocks of the prompt. */
  readonly cacheSource?: string;
}

/** Why an attempt is given up although it has not failed by itself. */
export enum CancelReason {
  RequestEnded = 'request-ended',
  AnotherAttemptDelivered = 'another-attempt-delivered',
  Relocated = 'relocated',
  WeightsTooOld = 'weights-too-old',
  ServerCrashed = 'server-crashed',
  AnswersMalformed = 'answers-malformed',
}

/** Abort an attempt. */
export interface CancelAttempt {
  readonly kind: DecisionEffectKind.CancelAttempt;
  readonly requestId: string;
  readonly attemptId: string;
  readonly reason: CancelReason;
}

/** What a stream could still use when it was cut, for logs. */
export interface CutStream {
  /** Attempts of the stream so far. */
  readonly attempts: number;
  /** Attempts that may have run. */
  readonly runs: number;
  /** Retries that this daemon had left for the service; below 1 there was none. */
  readonly retriesLeft: number;
  /** Listed servers that may go on with the stream. */
  readonly servers: number;
  /** Those of them that load weights. */
  readonly loadingServers: number;
}

/** End the request with a failure; none of its attempts runs any more. */
export interface Fail {
  readonly kind: DecisionEffectKind.Fail;
  readonly requestId: string;
  readonly failure: verdict.RequestFailure;
  /** Present if the caller has received a part of the stream. */
  readonly cutStream?: CutStream;
}

/** A started stream waits to be sent again; for logs. */
export interface AwaitRetry {
  readonly kind: DecisionEffectKind.AwaitRetry;
  readonly requestId: string;
  /** Pause after several refusals; 0 if the stream waits only until the limit allows a retry. */
  readonly pauseMilliseconds: number;
  /** Retries that this daemon had left for the service. */
  readonly retriesLeft: number;
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

export type DecisionEffect =
  Dispatch | CancelAttempt | Fail | AwaitRetry | ReportCrash | ReportSafeBegin;
