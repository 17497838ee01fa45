import * as crypto from 'node:crypto';
import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as bodyRefused from './body-refused';
import * as errorBody from './error-body';

/** Converts errors of Fastify and Nest, such as a body that is too large, into error responses. */
@nest.Catch()
export class FailureFilter implements nest.ExceptionFilter {
  constructor(private readonly revision: () => number) {}

  catch(error: Error, host: nest.ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<fastify.FastifyReply>();
    const failure = failureOf(error);
    const requestId = crypto.randomUUID();
    if (failure.reason === verdict.FailureReason.Internal) {
      logger.error('request handler threw an exception', { requestId, reason: error.message });
    }
    if (reply.raw.headersSent || reply.raw.destroyed) {
      reply.raw.destroy();
      return;
    }
    reply
      .status(verdict.httpStatus(failure.reason))
      .headers({ ...errorBody.errorHeaders(failure), 'x-request-id': requestId })
      .header('x-figline-revision', String(this.revision()))
      // The rest of a rejected body may still arrive on this connection.
      .header('connection', 'close')
      .send(errorBody.errorBody(failure));
  }
}

const logger = new logging.Logger('caller');

const { FailureReason, Verdict } = verdict;

function failureOf(
  error: Error & { statusCode?: number; status?: number },
): verdict.RequestFailure {
  if (error instanceof bodyRefused.BodyRefused) {
    return error.failure;
  }
  const status = error.statusCode ?? error.status ?? 500;
  if (status === 413) {
    return verdict.failure(
      FailureReason.RequestTooLarge,
      Verdict.NotRun,
      'The request body is too large.',
    );
  }
  if (status === 404) {
    return verdict.failure(
      FailureReason.UnknownRoute,
      Verdict.NotRun,
      'No service takes this method and path.',
    );
  }
  return status >= 400 && status < 500
    ? verdict.failure(FailureReason.BadRequest, Verdict.NotRun, 'The request is malformed.')
    : verdict.failure(
        FailureReason.Internal,
        Verdict.MayHaveRun,
        'The router failed while it handled the request.',
      );
}
