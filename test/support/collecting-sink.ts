import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';

/** Records what a caller would receive. */
export class CollectingSink extends routing.AnswerSink {
  readonly pieces: string[] = [];

  failure: verdict.RequestFailure | undefined;

  isComplete = false;

  readonly ended: Promise<void>;

  private resolve!: () => void;

  constructor() {
    super();
    this.ended = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** The numbers that the fake engines put into their pieces. */
  get words(): readonly number[] {
    return this.pieces.map((piece) => JSON.parse(piece).word);
  }

  override async writePiece(data: string): Promise<void> {
    this.pieces.push(data);
  }

  override complete(): void {
    this.isComplete = true;
    this.resolve();
  }

  override fail(failure: verdict.RequestFailure): void {
    this.failure = failure;
    this.resolve();
  }
}
