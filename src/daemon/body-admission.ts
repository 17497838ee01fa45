import * as crypto from 'node:crypto';
import type * as fastify from 'fastify';
import * as verdict from '../verdict';
import * as callerExchange from './caller-exchange';
import type * as callerContext from './caller-context';
import * as errorBody from './error-body';

/**
 * Decides from the headers of a request whether its body is read at all. A caller without a valid
 * credential is refused before it can occupy a connection and memory, and the bodies that are being read
 * at the same time are bounded in sum.
 */
export class BodyAdmission {
  private reservedBytes = 0;

  constructor(private readonly context: callerContext.CallerContext) {}

  /** Bytes that the bodies being read now may still grow to. */
  get reserved(): number {
    return this.reservedBytes;
  }

  /**
   * Adds the check to a server before it starts to listen.
   *
   * @example
   * new BodyAdmission(context).install(application.getHttpAdapter().getInstance());
   */
  install(server: fastify.FastifyInstance): void {
    server.addHook('onRequest', (request, reply, done) => {
      const failure = this.refusal(request);
      if (failure !== undefined) {
        this.refuse(reply, failure);
        return;
      }
      this.reserve(request, reply);
      done();
    });
  }

  private refusal(request: fastify.FastifyRequest): verdict.RequestFailure | undefined {
    const size = this.sizeOf(request);
    if (size === 0) {
      return undefined;
    }
    const admitted = callerExchange.admit(this.context, request);
    if (admitted.err) {
      return admitted.val;
    }
    const { concurrentBodyBytes: readingBytes } = this.context.limits;
    return this.reservedBytes + size > readingBytes ? BODIES_FULL : undefined;
  }

  /** A body without a declared length may grow to the limit of one body. */
  private sizeOf({ headers }: fastify.FastifyRequest): number {
    const { bodyBytes } = this.context.limits;
    const declared = Number(headers['content-length'] ?? 0);
    return headers['transfer-encoding'] === undefined ? Math.min(declared, bodyBytes) : bodyBytes;
  }

  /** Held until the body was read, which is when Fastify calls the handler, or the connection ended. */
  private reserve(request: fastify.FastifyRequest, reply: fastify.FastifyReply): void {
    const size = this.sizeOf(request);
    if (size === 0) {
      return;
    }
    this.reservedBytes += size;
    let isHeld = true;
    const release = (): void => {
      this.reservedBytes -= isHeld ? size : 0;
      isHeld = false;
    };
    request.raw.once('end', release);
    reply.raw.once('close', release);
  }

  /** The rest of the body may still be on its way, so the connection cannot be used again. */
  private refuse(reply: fastify.FastifyReply, failure: verdict.RequestFailure): void {
    reply
      .status(verdict.httpStatus(failure.reason))
      .headers({ ...errorBody.errorHeaders(failure), 'x-request-id': crypto.randomUUID() })
      .header('x-figline-revision', String(this.context.router.catalog.revision))
      .header('connection', 'close')
      .send(errorBody.errorBody(failure));
  }
}

const BODIES_FULL = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'Too many large requests are being received at the moment; send the request again.',
  { retryAfterMilliseconds: 1_000 },
);
