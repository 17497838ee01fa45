import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as readiness from './readiness';

/** Health endpoints for the platform's load balancer. */
@nest.Controller()
export class HealthController {
  constructor(@nest.Inject(readiness.Readiness) private readonly state: readiness.Readiness) {}

  /** Liveness: always 200 while the process answers. */
  @nest.Get('/healthz')
  health(): { status: string } {
    return { status: this.state.current };
  }

  /** Readiness: 200 while new requests should be sent to this daemon, 503 otherwise. */
  @nest.Get('/readyz')
  ready(@nest.Res() reply: fastify.FastifyReply): void {
    reply.status(this.state.isReady ? 200 : 503).send({ status: this.state.current });
  }
}
