import * as fakeCache from './fake-cache';
import * as runningJob from './running-job';
import type * as simulation from './simulation';

/** A request as an engine receives it. */
export interface EngineJob {
  readonly chain: readonly string[];
  readonly promptTokens: number;
  readonly outputPieces: number;
  readonly resumeFrom: number;
  readonly priority: number;
  /** True for a request that crashes the engine at the end of its prefill. */
  readonly poison: boolean;
  readonly onHead: (cachedTokens: number) => void;
  readonly onPiece: (nextPiece: number) => void;
  readonly onFinish: () => void;
  readonly onLost: () => void;
}

/** Size and speed of an engine. */
export interface EngineParameters {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly pieceMilliseconds: number;
  readonly cacheBlocks: number;
}

/** Called at the start of the prefill of a job, with the number of blocks that this engine has cached. */
export type PrefillListener = (engine: FakeEngine, job: EngineJob, cachedBlocks: number) => void;

/**
 * An engine in virtual time: a batch with a fixed number of slots, a priority queue in front of it, and one
 * chunked prefill at a time while the other jobs decode.
 */
export class FakeEngine {
  incarnation: string;

  alive = true;

  /** Factor by which the engine is slower than normal. */
  slowdown = 1;

  cache: fakeCache.FakeCache;

  private waiting: runningJob.RunningJob[] = [];

  private batch: runningJob.RunningJob[] = [];

  private prefilling = false;

  private restarts = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
    readonly parameters: EngineParameters,
    private readonly time: simulation.Simulation,
    private readonly onPrefill: PrefillListener,
    private readonly onCacheChange: (chainHash: string, stored: boolean) => void,
  ) {
    this.incarnation = `${id}#0`;
    this.cache = new fakeCache.FakeCache(parameters.cacheBlocks, onCacheChange);
  }

  get runningRequests(): number {
    return this.batch.length;
  }

  get queuedRequests(): number {
    return this.waiting.length;
  }

  /** Uncached prompt tokens that wait for prefill. */
  get queuedPrefillTokens(): number {
    return [...this.waiting, ...this.batch].reduce(
      (sum, running) => sum + running.remainingPrefillTokens,
      0,
    );
  }

  /** Chains that will be cached once their prefill is done. */
  get pendingChains(): readonly (readonly string[])[] {
    return [...this.waiting, ...this.batch]
      .filter((running) => running.remainingPrefillTokens > 0)
      .map((running) => running.job.chain);
  }

  /** Milliseconds until a new job gets a slot, from the real output lengths of the running jobs. */
  get slotDelayMilliseconds(): number {
    const ahead = this.waiting.length + this.batch.length + 1 - this.parameters.slots;
    if (ahead <= 0) {
      return 0;
    }
    const ends = this.batch.map((running) => running.expectedEnd).sort((a, b) => a - b);
    const round = Math.floor((ahead - 1) / this.parameters.slots);
    const mean = ends.reduce((sum, end) => sum + end - this.time.now, 0) / ends.length;
    return ends[(ahead - 1) % this.parameters.slots] - this.time.now + round * 2 * mean;
  }

  /** Queues a job; the returned function cancels it. */
  submit(job: EngineJob): () => void {
    const running = new runningJob.RunningJob(job, this.uncachedTokens(job));
    const position = this.waiting.findIndex((other) => other.job.priority < job.priority);
    this.waiting.splice(position < 0 ? this.waiting.length : position, 0, running);
    this.fillBatch();
    return () => this.end(running);
  }

  /** Changes the speed of all steps that start afterwards. */
  setSlowdown(slowdown: number): void {
    this.slowdown = slowdown;
  }

  /** Loses every job and the cache; `restart` brings the engine back. */
  crash(): void {
    this.alive = false;
    const lost = [...this.waiting, ...this.batch];
    this.waiting = [];
    this.batch = [];
    this.prefilling = false;
    lost.forEach((running) => {
      running.end();
      running.job.onLost();
    });
  }

  restart(): void {
    this.restarts += 1;
    this.incarnation = `${this.id}#${this.restarts}`;
    this.cache = new fakeCache.FakeCache(this.parameters.cacheBlocks, this.onCacheChange);
    this.alive = true;
  }

  uncachedTokens(job: Pick<EngineJob, 'chain' | 'promptTokens'>): number {
    const cached = this.cache.depth(job.chain) * TOKENS_PER_BLOCK;
    return Math.max(MINIMUM_PREFILL_TOKENS, job.promptTokens - cached);
  }

  private fillBatch(): void {
    while (this.batch.length < this.parameters.slots && this.waiting.length > 0) {
      const running = this.waiting.shift()!;
      running.start(this.time.now + this.durationMilliseconds(running));
      this.batch.push(running);
    }
    this.prefillNext();
  }

  private durationMilliseconds(running: runningJob.RunningJob): number {
    const pieces = running.job.outputPieces - running.job.resumeFrom;
    const decode = pieces * this.parameters.pieceMilliseconds;
    const prefill =
      (running.remainingPrefillTokens / this.parameters.prefillTokensPerSecond) * 1_000;
    return (decode + prefill) * this.slowdown;
  }

  /** Processes one chunk of the first prompt of the highest priority. */
  private prefillNext(): void {
    const next = this.batch
      .filter((running) => running.remainingPrefillTokens > 0)
      .sort((left, right) => right.job.priority - left.job.priority)[0];
    if (this.prefilling || next === undefined) {
      return;
    }
    if (!next.prefillStarted) {
      this.startPrefill(next);
    }
    const chunk = Math.min(CHUNK_TOKENS, next.remainingPrefillTokens);
    const duration = (chunk / this.parameters.prefillTokensPerSecond) * 1_000 * this.slowdown;
    const { incarnation } = this;
    this.prefilling = true;
    this.time.after(duration, () => {
      if (this.incarnation === incarnation && this.alive) {
        this.prefilling = false;
        next.process(chunk);
        if (next.remainingPrefillTokens <= 0 && !next.ended) {
          this.endPrefill(next);
        }
        this.prefillNext();
      }
    });
  }

  private startPrefill(running: runningJob.RunningJob): void {
    const depth = this.cache.depth(running.job.chain);
    running.startPrefill(this.uncachedTokens(running.job));
    this.onPrefill(this, running.job, depth);
    running.job.onHead(Math.min(running.job.promptTokens, depth * TOKENS_PER_BLOCK));
  }

  private endPrefill(running: runningJob.RunningJob): void {
    if (running.job.poison) {
      this.crash();
      return;
    }
    this.cache.pin(running.job.chain);
    this.emitPiece(running, running.job.resumeFrom + 1);
  }

  private emitPiece(running: runningJob.RunningJob, nextPiece: number): void {
    if (running.ended) {
      return;
    }
    running.job.onPiece(nextPiece);
    if (nextPiece >= running.job.outputPieces) {
      this.end(running);
      running.job.onFinish();
      return;
    }
    this.time.after(this.parameters.pieceMilliseconds * this.slowdown, () =>
      this.emitPiece(running, nextPiece + 1),
    );
  }

  private end(running: runningJob.RunningJob): void {
    if (running.ended) {
      return;
    }
    if (running.isDecoding) {
      this.cache.unpin(running.job.chain);
    }
    running.end();
    this.waiting = this.waiting.filter((other) => other !== running);
    this.batch = this.batch.filter((other) => other !== running);
    this.fillBatch();
  }
}

const TOKENS_PER_BLOCK = 1_000;
/** Between two chunks, a prompt of higher priority may go first. */
const CHUNK_TOKENS = 1_000;
/** Even a fully cached prompt needs one step for its last tokens. */
const MINIMUM_PREFILL_TOKENS = 64;
