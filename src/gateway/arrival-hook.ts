import type * as fastify from 'fastify';
import type * as callerRequestHandler from './caller-request-handler';

/** Tells a handler when the headers of each request arrive; it gets the request itself only with its whole body. */
export function recordArrivals(
  server: fastify.FastifyInstance,
  handler: callerRequestHandler.CallerRequestHandler,
): void {
  server.addHook('onRequest', (request, _reply, done) => {
    handler.headersArrived(request.raw);
    done();
  });
}
