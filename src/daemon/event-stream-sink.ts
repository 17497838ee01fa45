import * as clock from '../clock';
import * as routing from '../routing';
import * as verdict from '../verdict';
import type * as callerLimits from './caller-limits';
import type * as callerReply from './caller-reply';

/**
 * Sends pieces to a caller as server-sent events. The head waits for the first piece, so that a
 * refusal still has its HTTP status; after a silence it is sent with a comment line.
 */
export class EventStreamSink extends routing.AnswerSink {
  private commentTimer: clock.Timer | undefined;

  private isOver = false;

  constructor(
    private readonly reply: callerReply.CallerReply,
    private readonly time: clock.Clock,
    private readonly limits: callerLimits.CallerLimits,
  ) {
    super();
    this.planComment();
  }

  override async piece(data: string): Promise<void> {
    this.commentTimer?.cancel();
    this.reply.writeHead(200, EVENT_STREAM_HEADERS);
    await this.reply.write(`data: ${data}\n\n`, this.limits.writeTimeoutMilliseconds);
    this.planComment();
  }

  override complete(): void {
    this.close();
    this.reply.writeHead(200, EVENT_STREAM_HEADERS);
    this.reply.end('data: [DONE]\n\n');
  }

  override fail(failure: verdict.RequestFailure): void {
    this.close();
    if (this.reply.hasSentHeaders) {
      this.reply.endWithErrorEvent(failure);
    } else {
      this.reply.fail(failure);
    }
  }

  /** Stops the comment lines when the caller has gone. */
  close(): void {
    this.isOver = true;
    this.commentTimer?.cancel();
  }

  private planComment(): void {
    this.commentTimer?.cancel();
    if (this.isOver) {
      return;
    }
    this.commentTimer = this.time.setTimer(this.limits.commentMilliseconds, async () => {
      this.reply.writeHead(200, EVENT_STREAM_HEADERS);
      await this.reply.write(': waiting\n\n', this.limits.writeTimeoutMilliseconds);
      this.planComment();
    });
  }
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache, no-transform',
  // Keeps intermediate proxies from buffering the stream.
  'x-accel-buffering': 'no',
};
