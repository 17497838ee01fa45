import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as routing from '../routing';
import * as verdict from '../verdict';
import * as callerContext from './caller-context';
import * as callerExchange from './caller-exchange';
import * as httpHeaders from './http-headers';

/** Forwards requests to plain services by their configured paths; handles what no other controller does. */
@nest.Controller()
export class ServicesController {
  constructor(
    @nest.Inject(callerContext.CallerContext)
    private readonly context: callerContext.CallerContext,
  ) {}

  @nest.All('*')
  async call(
    @nest.Req() request: fastify.FastifyRequest,
    @nest.Res() response: fastify.FastifyReply,
  ): Promise<void> {
    const exchange = callerExchange.openExchange(this.context, request, response);
    if (exchange === undefined) {
      return;
    }
    const { reply, requestId, team, body } = exchange;
    const key = request.headers['idempotency-key'];
    const started = this.context.router.startService({
      requestId,
      team,
      method: request.method,
      path: request.url,
      headers: httpHeaders.requestHeaders(request.raw.headers, team.name),
      body,
      ...(typeof key === 'string' ? { idempotencyKey: key } : {}),
    });
    reply.onCallerDisconnect(() => started.cancel());
    const result = await started.result;
    if (result.ok) {
      send(exchange, result.val, request.method);
    } else {
      reply.fail(result.val);
    }
  }
}

function send(
  exchange: callerExchange.CallerExchange,
  answer: routing.ServiceAnswer,
  method: string,
): void {
  const length = method === 'HEAD' ? answer.headers['content-length'] : answer.body.byteLength;
  exchange.reply.writeHead(answer.status, {
    ...httpHeaders.answerHeaders(answer.headers),
    ...(length === undefined || !mayHaveBody(answer.status)
      ? {}
      : { 'content-length': String(length) }),
    'x-figline-verdict': verdict.Verdict.Ran,
    'x-figline-replayed': String(answer.isReplay),
  });
  exchange.reply.end(answer.body);
}

/** Answers without content must not have a `content-length` (RFC 9110, section 8.6). */
function mayHaveBody(status: number): boolean {
  return status !== 204 && status !== 304;
}
