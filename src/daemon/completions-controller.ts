import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as routing from '../routing';
import * as callerContext from './caller-context';
import * as callerExchange from './caller-exchange';
import * as eventStreamSink from './event-stream-sink';
import * as wholeAnswerSink from './whole-answer-sink';

/** The completions API for callers, with streamed and whole answers of model services. */
@nest.Controller()
export class CompletionsController {
  constructor(
    @nest.Inject(callerContext.CallerContext)
    private readonly context: callerContext.CallerContext,
  ) {}

  @nest.Post('/v1/chat/completions')
  chat(@nest.Req() request: fastify.FastifyRequest, @nest.Res() reply: fastify.FastifyReply): void {
    this.complete(routing.CompletionPath.Chat, request, reply);
  }

  @nest.Post('/v1/completions')
  text(@nest.Req() request: fastify.FastifyRequest, @nest.Res() reply: fastify.FastifyReply): void {
    this.complete(routing.CompletionPath.Text, request, reply);
  }

  /** Lists the intents that the team may use as `model`. */
  @nest.Get('/v1/models')
  models(
    @nest.Req() request: fastify.FastifyRequest,
    @nest.Res() response: fastify.FastifyReply,
  ): void {
    const exchange = callerExchange.openExchange(this.context, request, response);
    if (exchange === undefined) {
      return;
    }
    const data = this.context.router.catalog.intents(exchange.team).map((intent) => ({
      id: intent.name,
      object: 'model',
      created: 0,
      owned_by: intent.service,
    }));
    exchange.reply.writeHead(200, { 'content-type': 'application/json; charset=utf-8' });
    exchange.reply.end(JSON.stringify({ object: 'list', data }));
  }

  private complete(
    path: routing.CompletionPath,
    request: fastify.FastifyRequest,
    response: fastify.FastifyReply,
  ): void {
    const exchange = callerExchange.openExchange(this.context, request, response);
    if (exchange === undefined) {
      return;
    }
    const { reply, requestId, team } = exchange;
    const parsed = routing.parseCompletion(path, exchange.body.toString('utf8'));
    if (parsed.err) {
      reply.fail(parsed.val);
      return;
    }
    const sink = this.openSink(path, parsed.val, reply);
    const call = { requestId, team, path, request: parsed.val };
    const started = this.context.router.startCompletion(call, sink);
    if (started.err) {
      sink.fail(started.val);
      return;
    }
    reply.onCallerDisconnect(() => {
      sink.close();
      started.val();
    });
  }

  private openSink(
    path: routing.CompletionPath,
    request: routing.CompletionRequest,
    reply: callerExchange.CallerExchange['reply'],
  ): eventStreamSink.EventStreamSink | wholeAnswerSink.WholeAnswerSink {
    return request.stream === true
      ? new eventStreamSink.EventStreamSink(reply, this.context.time, this.context.limits)
      : new wholeAnswerSink.WholeAnswerSink(path, reply);
  }
}
