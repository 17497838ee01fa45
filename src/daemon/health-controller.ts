import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as readiness from './readiness';

/** What the platform's load balancer asks. */
@nest.Controller()
export class HealthController {
  constructor(@nest.Inject(readiness.Readiness) private readonly state: readiness.Readiness) {}

  /** Always 200 while the process answers. */
  @nest.Get('/healthz')
  health(): { status: string } {
    return { status: this.state.current };
  }

  /** Whether new requests should be sent here. */
  @nest.Get('/readyz')
  ready(@nest.Res() reply: fastify.FastifyReply): void {
    reply.status(this.state.isReady ? 200 : 503).send({ status: this.state.current });
  }
}
