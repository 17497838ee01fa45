import * as verdict from '../verdict';
import type * as engineStream from './engine-stream';

/** Receives the events of a stream exchange and provides them as an `EngineStream`. */
export abstract class StreamListener {
  /** The `head` event arrived. */
  abstract onStart(head: engineStream.EngineAnswerHead): void;

  abstract onPiece(piece: engineStream.StreamPiece): void;

  /** `[DONE]` arrived. */
  abstract onDone(): void;

  /** Called at most once; if it precedes `onStart`, there is no stream. */
  abstract onFailure(failure: verdict.RequestFailure): void;

  /** The engine may still generate an answer that nobody reads any more. */
  abstract onOrphaned(): void;
}
