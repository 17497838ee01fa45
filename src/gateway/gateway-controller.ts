import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as gatewayCallers from './gateway-callers';

/** Takes every request of callers. */
@nest.Controller()
export class GatewayController {
  constructor(
    @nest.Inject(gatewayCallers.GatewayCallers)
    private readonly callers: gatewayCallers.GatewayCallers,
  ) {}

  @nest.All('*')
  call(@nest.Req() request: fastify.FastifyRequest, @nest.Res() reply: fastify.FastifyReply): void {
    reply.hijack();
    this.callers.take(request.raw, reply.raw, bodyOf(request));
  }
}

function bodyOf({ body }: fastify.FastifyRequest): Buffer {
  return Buffer.isBuffer(body) ? body : Buffer.alloc(0);
}
