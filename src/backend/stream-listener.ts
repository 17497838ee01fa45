import * as verdict from '../verdict';
import type * as engineStream from './engine-stream';

/** What a stream exchange tells the engine adapter, which hands it on as an `EngineStream`. */
export abstract class StreamListener {
  /** The `head` event arrived. */
  abstract onStart(head: engineStream.EngineAnswerHead): void;

  abstract onPiece(piece: engineStream.StreamPiece): void;

  /** `[DONE]` arrived. */
  abstract onDone(): void;

  /** Called at most once; before `onStart` it means that there is no stream. */
  abstract onFailure(failure: verdict.RequestFailure): void;

  /** The engine may still be generating for a request that nobody reads any more. */
  abstract onOrphaned(): void;
}
