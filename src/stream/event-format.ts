import type * as backend from '../backend';
import * as verdict from '../verdict';

/** Error body that callers receive, as the answer or as the data of an error event. */
export interface ErrorBody {
  readonly error: {
    readonly code: verdict.FailureReason;
    readonly message: string;
    readonly verdict: verdict.Verdict;
    readonly retryAfterMilliseconds?: number;
  };
}

/**
 * The error body for a failure; the id of the backend server is left out.
 *
 * @example
 * errorBody(failure).error.verdict; // 'not-run'
 */
export function errorBody(failure: verdict.RequestFailure): ErrorBody {
  const { reason, message, retryAfterMilliseconds } = failure;
  const error = { code: reason, message, verdict: failure.verdict };
  return {
    error: retryAfterMilliseconds === undefined ? error : { ...error, retryAfterMilliseconds },
  };
}

/**
 * The event that ends a stream which cannot be completed. `[DONE]` never follows it, so that a caller does
 * not mistake a partial answer for a complete one.
 *
 * @example
 * response.end(errorEvent(failure)); // event: error, data: {"error":{...}}
 */
export function errorEvent(failure: verdict.RequestFailure): string {
  return `event: error\ndata: ${JSON.stringify(errorBody(failure))}\n\n`;
}

/**
 * A numbered piece in the format that the caller receives.
 *
 * @example
 * pieceEvent({ number: 3, data: '{}' }); // 'id: 3\ndata: {}\n\n'
 */
export function pieceEvent(piece: backend.StreamPiece): string {
  return `id: ${piece.number}\ndata: ${piece.data}\n\n`;
}
