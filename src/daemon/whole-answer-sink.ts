import * as routing from '../routing';
import * as stream from '../stream';
import * as verdict from '../verdict';
import type * as callerReply from './caller-reply';

/** Aggregates the pieces of a stream into one answer for callers that did not request a stream. */
export class WholeAnswerSink extends routing.AnswerSink {
  private aggregate: stream.Aggregate;

  private malformed: verdict.RequestFailure | undefined;

  constructor(
    path: routing.CompletionPath,
    private readonly reply: callerReply.CallerReply,
  ) {
    super();
    const { Chat, Text } = stream.AnswerFormat;
    this.aggregate = stream.emptyAggregate(path === routing.CompletionPath.Chat ? Chat : Text);
  }

  override async writePiece(data: string): Promise<void> {
    this.add(data);
  }

  override complete(): void {
    this.add(stream.DONE);
    const body = stream.wholeBody(this.aggregate);
    if (this.malformed !== undefined || body.err) {
      this.reply.fail(this.malformed ?? (body.val as verdict.RequestFailure));
      return;
    }
    this.reply.writeHead(200, {
      'content-type': 'application/json; charset=utf-8',
      'x-figline-verdict': verdict.Verdict.Ran,
    });
    this.reply.end(JSON.stringify(body.val));
  }

  override fail(failure: verdict.RequestFailure): void {
    this.reply.fail(failure);
  }

  /** Discards the aggregated pieces after the caller disconnects. */
  close(): void {
    this.aggregate = stream.emptyAggregate(this.aggregate.format);
  }

  private add(data: string): void {
    const added = stream.addChunk(this.aggregate, data);
    if (added.ok) {
      this.aggregate = added.val;
    } else {
      this.malformed = added.val;
    }
  }
}
