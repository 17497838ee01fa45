import type * as results from 'ts-results';
import * as verdict from '../verdict';

/** What an engine reports before the first piece. */
export interface EngineAnswerHead {
  readonly requestId: string;
  /** Id of the engine's process; changes with each start. */
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Prompt tokens that were found in the engine's cache. */
  readonly cachedTokens: number;
  readonly promptTokens: number;
}

/** One numbered event of a stream. The last piece has `data` equal to `[DONE]`. */
export interface StreamPiece {
  readonly number: number;
  /** JSON text of one chunk in the format of the completions API. */
  readonly data: string;
}

/** An answer in progress. It uses its connection exclusively until it has ended or was cancelled. */
export abstract class EngineStream {
  abstract readonly head: EngineAnswerHead;

  /**
   * Yields `Ok` pieces as the engine numbered them; the stream package checks for gaps and repeats.
   * Ends after `[DONE]`, or with one `Err` when the connection broke or was silent for too long.
   */
  abstract pieces(): AsyncIterable<results.Result<StreamPiece, verdict.RequestFailure>>;

  /** Stops the generation on the engine and destroys the connection. May be called at any time. */
  abstract cancel(): Promise<void>;
}
