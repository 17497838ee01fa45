import * as results from 'ts-results';
import * as verdict from '../verdict';
import * as engineStream from './engine-stream';
import * as httpEngineStream from './http-engine-stream';
import type * as streamExchange from './stream-exchange';
import * as streamListener from './stream-listener';

type StartResult = results.Result<engineStream.EngineStream, verdict.RequestFailure>;

/** Converts the events of one stream exchange into the result of `ModelEngine.start`. */
export class EngineStreamListener extends streamListener.StreamListener {
  /** Set before the exchange starts. */
  exchange: streamExchange.StreamExchange | undefined;

  readonly result: Promise<StartResult>;

  private resolve: ((result: StartResult) => void) | undefined;

  private stream: httpEngineStream.HttpEngineStream | undefined;

  constructor(
    private readonly maximumBufferedBytes: number,
    private readonly cancelOnEngine: () => void,
  ) {
    super();
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  override onStart(head: engineStream.EngineAnswerHead): void {
    if (this.exchange === undefined || this.stream !== undefined) {
      return;
    }
    this.stream = new httpEngineStream.HttpEngineStream(
      head,
      this.exchange,
      this.maximumBufferedBytes,
    );
    this.resolve?.(results.Ok(this.stream));
  }

  override onPiece(piece: engineStream.StreamPiece): void {
    this.stream?.onPiece(piece);
  }

  override onDone(): void {
    this.stream?.onDone();
  }

  override onFailure(failure: verdict.RequestFailure): void {
    this.stream?.onFailure(failure);
    this.resolve?.(results.Err(failure));
  }

  override onOrphaned(): void {
    this.cancelOnEngine();
  }
}
