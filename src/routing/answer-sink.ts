import * as verdict from '../verdict';

/** Destination of the pieces of a stream: the caller, as they arrive, or one complete answer. */
export abstract class AnswerSink {
  /** Writes one chunk as JSON text; resolves when the sink can accept the next one. */
  abstract writePiece(data: string): Promise<void>;

  /** Ends the answer after every piece was delivered. */
  abstract complete(): void;

  /** Ends an answer that cannot be completed. Called at most once, and never after `complete`. */
  abstract fail(failure: verdict.RequestFailure): void;
}
