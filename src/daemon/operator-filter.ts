import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as command from '../command';
import * as logging from '../logging';
import * as operatorReply from './operator-reply';

/** Converts errors of Fastify and Nest into error responses of the operator interface. */
@nest.Catch()
export class OperatorFilter implements nest.ExceptionFilter {
  // Nest calls `catch` as an instance method.
  // eslint-disable-next-line class-methods-use-this, @typescript-eslint/class-methods-use-this
  catch(error: Error & { statusCode?: number; status?: number }, host: nest.ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<fastify.FastifyReply>();
    const status = error.statusCode ?? error.status ?? 500;
    const answer = REPLIES.get(status) ?? (status < 500 ? INVALID : INTERNAL);
    if (answer === INTERNAL) {
      logger.error('operator request failed', { reason: error.message });
    }
    reply.status(answer.status).header('connection', 'close').send(answer.body);
  }
}

const logger = new logging.Logger('operator');

const { OperatorErrorCode } = command;

const INVALID = operatorReply.failure(OperatorErrorCode.Invalid, 'The request is malformed.');

const INTERNAL = operatorReply.failure(
  OperatorErrorCode.Internal,
  'The daemon failed while it handled the request.',
);

const REPLIES = new Map([
  [
    401,
    operatorReply.failure(
      OperatorErrorCode.Unauthorized,
      'The operator token is missing or unknown.',
    ),
  ],
  [404, operatorReply.failure(OperatorErrorCode.NotFound, 'There is no such path.')],
  [413, operatorReply.failure(OperatorErrorCode.Invalid, 'The body is too large.')],
]);
