import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as callerRequestHandler from './caller-request-handler';

/** Receives every request of callers. */
@nest.Controller()
export class GatewayController {
  constructor(
    @nest.Inject(callerRequestHandler.CallerRequestHandler)
    private readonly callers: callerRequestHandler.CallerRequestHandler,
  ) {}

  @nest.All('*')
  call(@nest.Req() request: fastify.FastifyRequest, @nest.Res() reply: fastify.FastifyReply): void {
    reply.hijack();
    this.callers.handle(request.raw, reply.raw, bodyOf(request));
  }
}

function bodyOf({ body }: fastify.FastifyRequest): Buffer {
  return Buffer.isBuffer(body) ? body : Buffer.alloc(0);
}
