import * as verdict from '../verdict';

/** The error object that client libraries of the completions API read, with figline's verdict. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: verdict.FailureReason;
    readonly param: null;
    readonly verdict: verdict.Verdict;
  };
}

/**
 * Returns the error body for a failure.
 *
 * @example
 * errorBody(failure).error.code; // 'no_majority'
 */
export function errorBody(failure: verdict.RequestFailure): ErrorBody {
  return {
    error: {
      message: failure.message,
      type: errorType(verdict.httpStatus(failure.reason)),
      code: failure.reason,
      param: null,
      verdict: failure.verdict,
    },
  };
}

/** Headers with a failure's verdict and, in whole seconds, the time after which to retry. */
export function errorHeaders(failure: verdict.RequestFailure): Record<string, string> {
  const { retryAfterMilliseconds } = failure;
  return {
    'x-figline-verdict': failure.verdict,
    ...(retryAfterMilliseconds === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMilliseconds / 1_000))) }),
  };
}

/** Client libraries choose their exception class by status; the type is for readers of logs. */
function errorType(status: number): string {
  const byStatus = TYPES.get(status);
  return byStatus ?? (status < 500 ? 'invalid_request_error' : 'server_error');
}

const TYPES = new Map([
  [401, 'authentication_error'],
  [403, 'permission_error'],
  [404, 'not_found_error'],
  [409, 'conflict_error'],
  [429, 'rate_limit_error'],
]);
