import * as verdict from '../verdict';

/** Where the pieces of a stream go: to the caller as they come, or into a whole answer. */
export abstract class AnswerSink {
  /** Takes one chunk as JSON text; resolves when the caller can take more. */
  abstract piece(data: string): Promise<void>;

  /** Every piece was delivered. */
  abstract complete(): void;

  /** The answer cannot be completed. Called at most once, and never after `complete`. */
  abstract fail(failure: verdict.RequestFailure): void;
}
