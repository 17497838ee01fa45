import * as crypto from 'node:crypto';
import type * as fastify from 'fastify';
import * as results from 'ts-results';
import * as configuration from '../configuration';
import * as verdict from '../verdict';
import * as authentication from './authentication';
import type * as callerContext from './caller-context';
import * as callerReply from './caller-reply';

/** An authenticated request of a caller, with its reply. */
export interface CallerExchange {
  readonly requestId: string;
  readonly team: configuration.TeamDocument;
  readonly body: Buffer;
  readonly reply: callerReply.CallerReply;
}

/**
 * Takes control of the response from Fastify and authenticates the request. The request id is always
 * generated: an id chosen by a caller could collide with that of another request at an engine. Returns
 * `undefined` after it has rejected the request.
 */
export function openExchange(
  context: callerContext.CallerContext,
  request: fastify.FastifyRequest,
  response: fastify.FastifyReply,
): CallerExchange | undefined {
  const requestId = crypto.randomUUID();
  const team = admit(context, request);
  response.hijack();
  const reply = new callerReply.CallerReply(
    response.raw,
    {
      requestId,
      team: team.ok ? team.val.name : undefined,
      method: request.method,
      path: request.url.split('?')[0],
      revision: () => context.router.catalog.revision,
      closesConnection: () => !context.readiness.isReady,
    },
    context.time,
  );
  context.readiness.requestStarted();
  response.raw.once('close', () => context.readiness.requestEnded());
  if (team.err) {
    reply.fail(team.val);
    return undefined;
  }
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
  return { requestId, team: team.val, body, reply };
}

/** Returns the team of a request, or the failure with which to reject it; reads the headers only. */
export function admit(
  context: callerContext.CallerContext,
  request: fastify.FastifyRequest,
): results.Result<configuration.TeamDocument, verdict.RequestFailure> {
  if (!context.readiness.acceptsRequests) {
    return new results.Err(SHUTTING_DOWN);
  }
  return authentication.authenticate(request.headers.authorization, context.router.catalog);
}

const SHUTTING_DOWN = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'This router does not take requests at the moment; send the request again.',
  { retryAfterMilliseconds: 1_000 },
);
