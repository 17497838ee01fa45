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
    protected readonly readiness: daemon.Readiness,
    protected readonly time: clock.Clock,
  ) {}

  handle(request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    const { method = 'GET', url: path = '/', headers } = request;
    const reply = new relayReply.RelayReply(response, this.time, () => !this.readiness.isReady);
    this.accept({ method, path, headers, body }, response, reply);
  }

  protected accept(
    incoming: gatewayModule.IncomingCall,
    response: http.ServerResponse,
    reply: relayReply.RelayReply,
  ): void {
    this.readiness.requestStarted();
    response.once('close', () => this.readiness.requestEnded());
    if (this.readiness.acceptsRequests) {
      this.gateway.handle(incoming, reply);
    } else {
      reply.fail(NOT_ACCEPTING);
    }
  }
}

const NOT_ACCEPTING = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'This router does not take requests at the moment; send the request again.',
  { retryAfterMilliseconds: 200 },
);
