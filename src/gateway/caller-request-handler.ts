import type * as http from 'node:http';
import * as clock from '../clock';
import * as daemon from '../daemon';
import * as verdict from '../verdict';
import type * as gatewayModule from './gateway';
import * as relayReply from './relay-reply';

/** Accepts requests of callers while the daemon's stage allows it, and counts the open ones. */
export class CallerRequestHandler {
  constructor(
    private readonly gateway: gatewayModule.Gateway,
    private readonly readiness: daemon.Readiness,
    private readonly time: clock.Clock,
  ) {}

  handle(request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    const { readiness } = this;
    const reply = new relayReply.RelayReply(response, this.time, () => !readiness.isReady);
    readiness.requestStarted();
    response.once('close', () => readiness.requestEnded());
    if (!readiness.acceptsRequests) {
      reply.fail(NOT_ACCEPTING);
      return;
    }
    this.gateway.handle(
      { method: request.method ?? 'GET', path: request.url ?? '/', headers: request.headers, body },
      reply,
    );
  }
}

const NOT_ACCEPTING = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'This router does not take requests at the moment; send the request again.',
  { retryAfterMilliseconds: 200 },
);
