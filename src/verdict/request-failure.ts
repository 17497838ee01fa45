import * as verdict from './verdict';

/** Why a request failed. The value is part of the error body that callers receive. */
export enum FailureReason {
  BadRequest = 'bad_request',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  UnknownRoute = 'unknown_route',
  RequestTooLarge = 'request_too_large',
  KeyInvalid = 'idempotency_key_invalid',
  KeyExpired = 'idempotency_key_expired',
  KeyReused = 'idempotency_key_reused',
  KeyInUse = 'idempotency_key_in_use',
  Quarantined = 'request_quarantined',
  Overloaded = 'overloaded',
  DeadlineUnreachable = 'deadline_unreachable',
  ShuttingDown = 'shutting_down',
  NoBackendServer = 'no_backend_server',
  NoMajority = 'no_majority',
  ConfigurationOutdated = 'configuration_outdated',
  ConnectFailed = 'connect_failed',
  BackendRefused = 'backend_refused',
  BackendLeaving = 'backend_leaving',
  BackendError = 'backend_error',
  ConnectionLost = 'connection_lost',
  Timeout = 'timeout',
  StreamBroken = 'stream_broken',
  StreamOriginUnknown = 'stream_origin_unknown',
  AnswerMismatch = 'answer_mismatch',
  CallerGone = 'caller_gone',
  Internal = 'internal_error',
}

/** A failed request or attempt: why it failed, and whether it may have been executed. */
export interface RequestFailure {
  readonly reason: FailureReason;
  readonly verdict: verdict.Verdict;
  /** One sentence for the caller; never contains prompt text, credentials or addresses. */
  readonly message: string;
  /** How long the caller should wait before it sends the request again. */
  readonly retryAfterMilliseconds?: number;
  /** The id of the backend server involved, for logs. */
  readonly backendServerId?: string;
  /** The server sent bytes that are not a valid answer, so the server is at fault and not the request. */
  readonly malformed?: true;
  /** Bytes received on the connection when a malformed answer was abandoned, for logs. */
  readonly receivedBytes?: number;
}

/**
 * Builds a failure.
 *
 * @example
 * failure(FailureReason.NoMajority, Verdict.NotRun, 'No majority of control replicas is reachable.');
 */
export function failure(
  reason: FailureReason,
  outcome: verdict.Verdict,
  message: string,
  details: Omit<RequestFailure, 'reason' | 'verdict' | 'message'> = {},
): RequestFailure {
  return { reason, verdict: outcome, message, ...details };
}

/**
 * The HTTP status for a failure.
 *
 * @example
 * httpStatus(FailureReason.Overloaded); // 429
 */
export function httpStatus(reason: FailureReason): number {
  return STATUS_BY_REASON[reason];
}

const STATUS_BY_REASON: Record<FailureReason, number> = {
  [FailureReason.BadRequest]: 400,
  [FailureReason.Unauthorized]: 401,
  [FailureReason.Forbidden]: 403,
  [FailureReason.UnknownRoute]: 404,
  [FailureReason.RequestTooLarge]: 413,
  [FailureReason.KeyInvalid]: 400,
  [FailureReason.KeyExpired]: 409,
  [FailureReason.KeyReused]: 422,
  [FailureReason.KeyInUse]: 409,
  [FailureReason.Quarantined]: 422,
  [FailureReason.Overloaded]: 429,
  [FailureReason.DeadlineUnreachable]: 429,
  [FailureReason.ShuttingDown]: 503,
  [FailureReason.NoBackendServer]: 503,
  [FailureReason.NoMajority]: 503,
  [FailureReason.ConfigurationOutdated]: 503,
  [FailureReason.ConnectFailed]: 502,
  [FailureReason.BackendRefused]: 503,
  [FailureReason.BackendLeaving]: 503,
  [FailureReason.BackendError]: 502,
  [FailureReason.ConnectionLost]: 502,
  [FailureReason.Timeout]: 504,
  [FailureReason.StreamBroken]: 502,
  [FailureReason.StreamOriginUnknown]: 503,
  [FailureReason.AnswerMismatch]: 502,
  [FailureReason.CallerGone]: 499,
  [FailureReason.Internal]: 500,
};
