import * as clock from '../clock';
import * as routing from '../routing';
import * as verdict from '../verdict';
import type * as callerLimits from './caller-limits';
import type * as callerReply from './caller-reply';

/**
 * Sends pieces to a caller as server-sent events. The status line and headers are sent with the first
 * piece, so that an earlier failure still gets its HTTP status, or with the first keep-alive comment.
 */
export class EventStreamSink extends routing.AnswerSink {
  private commentTimer: clock.Timer | undefined;

  private isClosed = false;

  constructor(
    private readonly reply: callerReply.CallerReply,
    private readonly time: clock.Clock,
    private readonly limits: callerLimits.CallerLimits,
  ) {
    super();
    this.scheduleComment();
  }

  override async writePiece(data: string): Promise<void> {
    this.commentTimer?.cancel();
    this.reply.writeHead(200, EVENT_STREAM_HEADERS);
    await this.reply.write(`data: ${data}\n\n`, this.limits.writeTimeoutMilliseconds);
    this.scheduleComment();
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

  /** Stops the keep-alive comments, for example when the caller disconnects. */
  close(): void {
    this.isClosed = true;
    this.commentTimer?.cancel();
  }

  private scheduleComment(): void {
    this.commentTimer?.cancel();
    if (this.isClosed) {
      return;
    }
    this.commentTimer = this.time.setTimer(this.limits.commentMilliseconds, async () => {
      this.reply.writeHead(200, EVENT_STREAM_HEADERS);
      await this.reply.write(': waiting\n\n', this.limits.writeTimeoutMilliseconds);
      this.scheduleComment();
    });
  }
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-cache, no-transform',
  // Keeps intermediate proxies from buffering the stream.
  'x-accel-buffering': 'no',
};
