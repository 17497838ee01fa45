import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as verdict from '../../src/verdict';

type Piece = results.Result<backend.StreamPiece, verdict.RequestFailure>;

/** A stream of given pieces. */
export class FakeEngineStream extends backend.EngineStream {
  isCancelled = false;

  constructor(
    readonly head: backend.EngineAnswerHead,
    private readonly script: readonly Piece[],
    private readonly delayMilliseconds = 0,
    private readonly isSilent = false,
  ) {
    super();
  }

  override async *pieces(): AsyncIterable<Piece> {
    for (const piece of this.script) {
      if (this.delayMilliseconds > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, this.delayMilliseconds);
        });
      }
      yield piece;
    }
    if (this.isSilent) {
      await new Promise(() => {});
    }
  }

  override async cancel(): Promise<void> {
    this.isCancelled = true;
  }
}
