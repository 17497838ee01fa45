import * as crypto from 'node:crypto';
import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as operatorContext from './operator-context';

/** Accepts only requests that carry an operator token as bearer credential. */
@nest.Injectable()
export class OperatorGuard implements nest.CanActivate {
  constructor(
    @nest.Inject(operatorContext.OperatorContext)
    private readonly context: operatorContext.OperatorContext,
  ) {}

  canActivate(host: nest.ExecutionContext): boolean {
    const request = host.switchToHttp().getRequest<fastify.FastifyRequest>();
    const token = BEARER.exec(request.headers.authorization ?? '')?.[1] ?? '';
    const hash = hashToken(token);
    const isAccepted = this.context.sources.tokenHashes.some((accepted) =>
      crypto.timingSafeEqual(accepted, hash),
    );
    if (!isAccepted) {
      throw new nest.UnauthorizedException();
    }
    return true;
  }
}

/** Hashes a token, because hashes have equal length and can be compared in constant time. */
export function hashToken(token: string): Buffer {
  return crypto.createHash('sha256').update(token).digest();
}

const BEARER = /^Bearer +(\S+)$/i;
