import * as results from 'ts-results';
import * as verdict from '../verdict';
import * as engineStream from './engine-stream';
import * as pieceQueue from './piece-queue';
import type * as streamExchange from './stream-exchange';

type StreamResult = results.Result<engineStream.StreamPiece, verdict.RequestFailure>;

/** A stream that an engine has begun to send over HTTP. */
export class HttpEngineStream extends engineStream.EngineStream {
  private readonly queue = new pieceQueue.PieceQueue<StreamResult>();

  private bufferedBytes = 0;

  constructor(
    override readonly head: engineStream.EngineAnswerHead,
    private readonly exchange: streamExchange.StreamExchange,
    private readonly maximumBufferedBytes: number,
  ) {
    super();
  }

  override async *pieces(): AsyncIterable<StreamResult> {
    for (let next = await this.queue.next(); next !== undefined; next = await this.queue.next()) {
      this.countConsumed(next);
      yield next;
    }
  }

  override async cancel(): Promise<void> {
    this.queue.clear();
    this.exchange.cancel();
  }

  /** Used by the exchange only. */
  onPiece(piece: engineStream.StreamPiece): void {
    this.bufferedBytes += piece.data.length;
    if (this.bufferedBytes > this.maximumBufferedBytes) {
      this.exchange.pause();
    }
    this.queue.push(results.Ok(piece));
  }

  /** Used by the exchange only. */
  onDone(): void {
    this.queue.end();
  }

  /** Used by the exchange only. */
  onFailure(failure: verdict.RequestFailure): void {
    this.queue.push(results.Err(failure));
    this.queue.end();
  }

  private countConsumed(result: StreamResult): void {
    if (result.ok) {
      this.bufferedBytes -= result.val.data.length;
      if (this.bufferedBytes <= this.maximumBufferedBytes / 2) {
        this.exchange.resume();
      }
    }
  }
}
