import * as zod from 'zod';
import * as clock from '../clock';
import * as verdict from '../verdict';
import type * as backendLimits from './backend-limits';
import type * as connectionPool from './connection-pool';
import * as eventParser from './event-parser';
import * as exchange from './exchange';
import * as headerName from './header-name';
import type * as httpRequest from './http-request';
import type * as streamListener from './stream-listener';

/** An exchange that reads the numbered pieces of an engine's stream and detects a silent engine. */
export class StreamExchange extends exchange.Exchange {
  private readonly parser: eventParser.EventParser;

  private refusalBytes = 0;

  /** Bytes since the last piece. */
  private bytesSincePiece = 0;

  private started = false;

  private done = false;

  private paused = false;

  constructor(
    request: httpRequest.HttpRequest,
    serverId: string,
    pool: connectionPool.ConnectionPool,
    time: clock.Clock,
    private readonly limits: backendLimits.BackendLimits,
    private readonly listener: streamListener.StreamListener,
  ) {
    super(request, serverId, pool, time);
    this.parser = new eventParser.EventParser(limits.maximumEventBytes);
  }

  /** Sends the request. The silence timeout starts here, since engines answer at once and then send comments. */
  start(): void {
    this.restartSilenceTimeout();
    this.run();
  }

  /** Destroys the connection because the rest of the answer is not needed. */
  cancel(): void {
    this.abandon(verdict.FailureReason.CallerGone, 'The request was cancelled.');
  }

  /** Stops reading while the consumer is slow. The silence timeout does not run while the stream is paused. */
  pause(): void {
    this.paused = true;
    this.setPaused(true);
    this.setDeadline(0, '');
  }

  resume(): void {
    if (this.paused) {
      this.paused = false;
      this.setPaused(false);
      this.restartSilenceTimeout();
    }
  }

  protected override receiveHead(): void {
    if (this.isEventStream()) {
      this.restartSilenceTimeout();
    } else {
      this.setDeadline(
        this.limits.managementMilliseconds,
        'The refusal of the engine did not end.',
      );
    }
  }

  protected override receiveData(chunk: Buffer): void {
    if (this.isEventStream()) {
      this.parse(chunk);
      return;
    }
    this.refusalBytes += chunk.length;
    if (this.refusalBytes > this.limits.maximumManagementBytes) {
      this.abandon(verdict.FailureReason.BackendError, 'The answer of the engine is too large.');
    }
  }

  protected override complete(): void {
    if (this.done || this.head === undefined) {
      return;
    }
    const refusal = this.refusal(this.head);
    this.listener.onFailure(refusal ?? this.unexpectedEnd(this.head));
  }

  protected override fail(failure: verdict.RequestFailure): void {
    const sent = failure.verdict !== verdict.Verdict.NotRun;
    const lost = failure.reason === verdict.FailureReason.ConnectionLost;
    if (!this.done && sent && !lost) {
      this.listener.onOrphaned();
    }
    if (!this.done) {
      this.listener.onFailure(failure);
    }
  }

  private isEventStream(): boolean {
    const type = this.head?.headers['content-type'] ?? '';
    return this.head?.status === 200 && type.startsWith('text/event-stream');
  }

  /** Restarts the silence timeout. Only complete comments and events restart it, and none after the last piece. */
  private restartSilenceTimeout(): void {
    if (!this.paused && !this.done) {
      this.setDeadline(this.limits.silenceMilliseconds, 'The engine has been silent for too long.');
    }
  }

  private parse(chunk: Buffer): void {
    const { commentAndEventCount: signsOfLife } = this.parser;
    this.bytesSincePiece += chunk.length;
    try {
      this.parser.push(chunk).forEach((event) => this.onEvent(event));
      if (this.parser.commentAndEventCount > signsOfLife) {
        this.restartSilenceTimeout();
      }
      if (this.bytesSincePiece > this.limits.maximumEventBytes) {
        throw new RangeError('no piece within the size limit');
      }
    } catch {
      this.abandon(verdict.FailureReason.StreamBroken, 'The stream of the engine is malformed.');
    }
  }

  private onEvent(event: eventParser.ServerSentEvent): void {
    if (this.done) {
      return;
    }
    if (event.name === 'head') {
      this.onHeadEvent(event.data);
    } else if (event.name === 'error') {
      this.abandon(verdict.FailureReason.BackendError, 'The engine reported an error.');
    } else if (event.name === 'message') {
      this.onPieceEvent(event);
    }
  }

  private onHeadEvent(data: string): void {
    const { headers } = this.head as httpRequest.HttpHead;
    const counts = headEventSchema.parse(JSON.parse(data));
    this.started = true;
    this.listener.onStart({
      requestId: this.request.requestId,
      incarnation: requiredHeader(headers, headerName.HeaderName.Incarnation),
      weightsVersion: requiredHeader(headers, headerName.HeaderName.WeightsVersion),
      ...counts,
    });
  }

  private onPieceEvent(event: eventParser.ServerSentEvent): void {
    if (!this.started || !/^\d{1,9}$/.test(event.id ?? '')) {
      throw new TypeError('piece has no valid number or precedes the head event');
    }
    this.bytesSincePiece = 0;
    this.listener.onPiece({ number: Number(event.id), data: event.data });
    if (event.data === DONE) {
      this.done = true;
      this.listener.onDone();
      this.setDeadline(ANSWER_END_TIMEOUT_MILLISECONDS, 'The answer did not end.');
    }
  }

  /** The failure for a complete answer that is neither a stream nor a refusal, or a stream without `[DONE]`. */
  private unexpectedEnd(head: httpRequest.HttpHead): verdict.RequestFailure {
    const { Ran, MayHaveRun } = verdict.Verdict;
    const { BadRequest, BackendError, StreamBroken } = verdict.FailureReason;
    if (this.isEventStream()) {
      return this.failure(StreamBroken, MayHaveRun, 'The stream of the engine ended too early.');
    }
    if (head.status >= 400 && head.status < 500) {
      const message = `The engine rejected the request with status ${head.status}.`;
      return this.failure(BadRequest, Ran, message);
    }
    return this.failure(
      BackendError,
      MayHaveRun,
      `The engine answered with status ${head.status}.`,
    );
  }
}

const DONE = '[DONE]';

/** The end of the chunked body follows `[DONE]` at once; a connection on which it is late is not reused. */
const ANSWER_END_TIMEOUT_MILLISECONDS = 1_000;

const headEventSchema = zod.object({
  cachedTokens: zod.int().min(0),
  promptTokens: zod.int().min(0),
});

function requiredHeader(
  headers: Readonly<Record<string, string>>,
  name: headerName.HeaderName,
): string {
  const value = headers[name] ?? '';
  if (value === '') {
    throw new TypeError(`header ${name} is missing`);
  }
  return value;
}
