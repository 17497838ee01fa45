import type * as http from 'node:http';
import * as callerRequestHandler from './caller-request-handler';
import * as forwardHeader from './forward-header';
import * as relayReply from './relay-reply';

/** Accepts requests that other gateways forward, which are answered with the marks between gateways. */
export class ForwardedRequestHandler extends callerRequestHandler.CallerRequestHandler {
  override handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
  ): void {
    const forwarded = forwardHeader.readForwarded(request.headers);
    if (forwarded === undefined) {
      response.writeHead(400).end();
      return;
    }
    const headers = { ...request.headers };
    forwardHeader.FORWARD_HEADERS.forEach((name) => delete headers[name]);
    const reply = new relayReply.RelayReply(
      response,
      this.time,
      () => !this.readiness.isReady,
      forwarded.id,
    );
    const { method = 'GET', url: path = '/' } = request;
    const arrivedAt = this.arrivedAt(request);
    this.accept({ method, path, headers, body, arrivedAt, forwarded }, response, reply);
  }
}
