import * as crypto from 'node:crypto';
import type * as fastify from 'fastify';
import * as verdict from '../verdict';
import * as callerExchange from './caller-exchange';
import type * as callerContext from './caller-context';
import * as errorBody from './error-body';

/**
 * Decides from the headers of a request whether its body is read. A caller without a valid credential is
 * rejected before it occupies a connection and memory, and the total size of the bodies that are received at
 * the same time is limited.
 */
export class BodyAdmission {
  private reservedBytes = 0;

  constructor(private readonly context: callerContext.CallerContext) {}

  /** Bytes that are reserved for the bodies that are being received. */
  get reserved(): number {
    return this.reservedBytes;
  }

  /**
   * Adds the check to a server as a hook; call it before the server listens.
   *
   * @example
   * new BodyAdmission(context).install(application.getHttpAdapter().getInstance());
   */
  install(server: fastify.FastifyInstance): void {
    server.addHook('onRequest', (request, reply, done) => {
      const failure = this.admissionFailure(request);
      if (failure !== undefined) {
        this.reject(reply, failure);
        return;
      }
      this.reserve(request, reply);
      done();
    });
  }

  private admissionFailure(request: fastify.FastifyRequest): verdict.RequestFailure | undefined {
    const size = this.maximumSizeOf(request);
    if (size === 0) {
      return undefined;
    }
    const admitted = callerExchange.admit(this.context, request);
    if (admitted.err) {
      return admitted.val;
    }
    const { concurrentBodyBytes } = this.context.limits;
    return this.reservedBytes + size > concurrentBodyBytes ? TOO_MANY_BODIES : undefined;
  }

  /** Bytes to reserve: the declared length, or the limit of one body when no length is declared. */
  private maximumSizeOf({ headers }: fastify.FastifyRequest): number {
    const { bodyBytes } = this.context.limits;
    const declared = Number(headers['content-length'] ?? 0);
    return headers['transfer-encoding'] === undefined ? Math.min(declared, bodyBytes) : bodyBytes;
  }

  /** Reserves the body's size until Fastify has received the body or the connection closes. */
  private reserve(request: fastify.FastifyRequest, reply: fastify.FastifyReply): void {
    const size = this.maximumSizeOf(request);
    if (size === 0) {
      return;
    }
    this.reservedBytes += size;
    let isReserved = true;
    const release = (): void => {
      this.reservedBytes -= isReserved ? size : 0;
      isReserved = false;
    };
    request.raw.once('end', release);
    reply.raw.once('close', release);
  }

  /** Closes the connection after the answer, because the rest of the body may still arrive on it. */
  private reject(reply: fastify.FastifyReply, failure: verdict.RequestFailure): void {
    reply
      .status(verdict.httpStatus(failure.reason))
      .headers({ ...errorBody.errorHeaders(failure), 'x-request-id': crypto.randomUUID() })
      .header('x-figline-revision', String(this.context.router.catalog.revision))
      .header('connection', 'close')
      .send(errorBody.errorBody(failure));
  }
}

const TOO_MANY_BODIES = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'Too many large requests are being received at the moment; send the request again.',
  { retryAfterMilliseconds: 1_000 },
);
