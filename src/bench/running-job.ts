import type * as fakeEngine from './fake-engine';

/** A job in the queue or the batch of a fake engine. */
export class RunningJob {
  /** Uncached prompt tokens that are not processed yet; an estimate until the prefill starts. */
  remainingPrefillTokens: number;

  prefillStarted = false;

  ended = false;

  /** When the job ends if nothing delays it. */
  expectedEnd = 0;

  constructor(
    readonly job: fakeEngine.EngineJob,
    uncachedTokens: number,
  ) {
    this.remainingPrefillTokens = uncachedTokens;
  }

  /** Whether the prefill is done and the job has not ended; its blocks are pinned in the cache. */
  get isDecoding(): boolean {
    return this.prefillStarted && this.remainingPrefillTokens <= 0 && !this.ended;
  }

  start(expectedEnd: number): void {
    this.expectedEnd = expectedEnd;
  }

  startPrefill(uncachedTokens: number): void {
    this.prefillStarted = true;
    this.remainingPrefillTokens = uncachedTokens;
  }

  process(tokens: number): void {
    this.remainingPrefillTokens -= tokens;
  }

  end(): void {
    this.ended = true;
    this.remainingPrefillTokens = 0;
  }
}
