import type * as http from 'node:http';
import * as memory from '../memory';
import * as metrics from '../metrics';
import * as verdict from '../verdict';
import * as bodyRefused from './body-refused';
import * as unfinishedBody from './unfinished-body';

type Done = (error: Error | null, body?: Buffer) => void;

/**
 * Reads the bodies of requests within a limit of memory for all of them. If they hold too much, the largest unfinished body is
 * refused first: a crowd of large ones is refused before a small one that arrives meanwhile. A body that has arrived is never
 * refused; its bytes are counted until its request has ended.
 */
export class BodyIntake {
  private readonly unfinished = new Map<http.IncomingMessage, unfinishedBody.UnfinishedBody>();

  /** Bytes of the bodies that have arrived. */
  private readonly arrived = new WeakMap<http.IncomingMessage, number>();

  constructor(
    private readonly account: memory.MemoryAccount,
    private readonly maximumBytes: number,
    private readonly meter: metrics.Metrics,
    private readonly pool = new memory.SegmentPool(),
  ) {}

  /**
   * Reads a body and calls `done` with it, or with the reason why it is not read.
   *
   * @example
   * server.addContentTypeParser('*', (_request, payload, done) => intake.read(payload, done));
   */
  read(payload: http.IncomingMessage, done: Done): void {
    const announced = Number(payload.headers['content-length'] ?? this.maximumBytes);
    if (announced > this.maximumBytes) {
      done(new bodyRefused.BodyRefused(TOO_LARGE));
      return;
    }
    const body = new unfinishedBody.UnfinishedBody(
      payload,
      new memory.SegmentedBytes(this.pool),
      (error) => {
        this.forget(payload, body);
        done(error);
      },
    );
    this.unfinished.set(payload, body);
    payload.on('data', (part: Buffer) => this.receive(body, part));
    payload.once('end', () => this.finish(body, payload, done));
    payload.once('error', (error) => body.fail(Object.assign(error, { statusCode: 400 })));
    payload.resume();
  }

  /** Drops the unfinished body of a request whose handler must not run any more; `done` is never called. */
  abandon(request: http.IncomingMessage): void {
    const body = this.unfinished.get(request);
    if (body !== undefined) {
      body.drop();
      this.forget(request, body);
    }
  }

  /** Frees the body of a request that has ended. */
  release(request: http.IncomingMessage): void {
    const bytes = this.arrived.get(request);
    if (bytes !== undefined) {
      this.arrived.delete(request);
      this.account.add(MemoryKind.Requests, -bytes);
    }
  }

  private receive(body: unfinishedBody.UnfinishedBody, part: Buffer): void {
    if (body.isOver) {
      return;
    }
    if (body.size + part.length > this.maximumBytes) {
      body.fail(new bodyRefused.BodyRefused(TOO_LARGE));
      return;
    }
    body.add(part);
    const grown = body.heldBytes - body.countedBytes;
    while (!body.isOver && !this.tryAdd(grown)) {
      this.refuseLargest();
    }
    if (!body.isOver) {
      body.markCounted();
    }
    this.account.noteReceived(part.length);
  }

  /** The only unfinished body may use what others would otherwise keep free, so that it is served in calm on any VM. */
  private tryAdd(bytes: number): boolean {
    const { UnfinishedBodies } = MemoryKind;
    return this.unfinished.size === 1
      ? this.account.tryAddAlone(UnfinishedBodies, bytes)
      : this.account.tryAdd(UnfinishedBodies, bytes);
  }

  private refuseLargest(): void {
    const largest = [...this.unfinished.values()].reduce((first, second) =>
      second.heldBytes > first.heldBytes ? second : first,
    );
    this.meter.count(metrics.Counter.MemoryRefusals, { reason: MemoryKind.UnfinishedBodies });
    largest.fail(new bodyRefused.BodyRefused(MEMORY_SHORT));
  }

  private finish(
    body: unfinishedBody.UnfinishedBody,
    payload: http.IncomingMessage,
    done: Done,
  ): void {
    if (body.isOver) {
      return;
    }
    this.forget(payload, body);
    const bytes = body.take();
    this.account.add(MemoryKind.Requests, bytes.length);
    this.arrived.set(payload, bytes.length);
    done(null, bytes);
  }

  private forget(payload: http.IncomingMessage, body: unfinishedBody.UnfinishedBody): void {
    this.unfinished.delete(payload);
    this.account.add(MemoryKind.UnfinishedBodies, -body.countedBytes);
  }
}

const { MemoryKind } = memory;

const { FailureReason, Verdict } = verdict;

const TOO_LARGE = verdict.failure(
  FailureReason.RequestTooLarge,
  Verdict.NotRun,
  'The request body is too large.',
);

const MEMORY_SHORT = verdict.failure(
  FailureReason.Overloaded,
  Verdict.NotRun,
  'Too many large requests are being received at the moment; send the request again.',
  { retryAfterMilliseconds: 1_000 },
);
