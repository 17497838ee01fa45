import type * as http from 'node:http';
import * as clock from '../clock';
import * as daemon from '../daemon';
import * as logging from '../logging';
import * as verdict from '../verdict';
import type * as gatewayModule from './gateway';
import * as relayReply from './relay-reply';

/** Accepts requests of callers while the daemon's stage allows it, and counts the open ones. */
export class CallerRequestHandler {
  /** Monotonic time in milliseconds at which the headers of a request arrived. */
  private readonly arrivals = new WeakMap<http.IncomingMessage, number>();

  constructor(
    private readonly gateway: gatewayModule.Gateway,
    protected readonly readiness: daemon.Readiness,
    protected readonly time: clock.Clock,
  ) {}

  /** Records that the headers of a request have arrived; its body may follow much later. */
  headersArrived(request: http.IncomingMessage): void {
    this.arrivals.set(request, this.time.monotonic());
  }

  /** Limits of a listener whose requests this handler gets. */
  intake(limits: Omit<daemon.IntakeOptions, 'onHead'>): daemon.IntakeOptions {
    return { ...limits, onHead: (request) => this.headersArrived(request) };
  }

  protected arrivedAt(request: http.IncomingMessage): number {
    return this.arrivals.get(request) ?? this.time.monotonic();
  }

  handle(request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    const { method = 'GET', url: path = '/', headers } = request;
    const reply = new relayReply.RelayReply(response, this.time, () => !this.readiness.isReady);
    const arrivedAt = this.arrivedAt(request);
    this.accept({ method, path, headers, body, arrivedAt }, response, reply);
  }

  protected accept(
    incoming: gatewayModule.IncomingCall,
    response: http.ServerResponse,
    reply: relayReply.RelayReply,
  ): void {
    this.readiness.requestStarted();
    response.once('close', () => this.readiness.requestEnded());
    if (!this.readiness.acceptsRequests) {
      reply.fail(NOT_ACCEPTING);
      return;
    }
    afterNextRead(() => {
      if (response.socket?.readableEnded === false) {
        this.gateway.handle(incoming, reply);
      } else {
        logger.debug('caller has left before its request was read; it is dropped');
        response.destroy();
      }
    });
  }
}

const logger = new logging.Logger('caller');

/**
 * Calls a function once everything that has arrived so far is read. A busy process reads a request late, and only the next
 * read shows that its caller has closed the connection meanwhile.
 */
function afterNextRead(call: () => void): void {
  setImmediate(() => setImmediate(call));
}

const NOT_ACCEPTING = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'This router does not take requests at the moment; send the request again.',
  { retryAfterMilliseconds: 200 },
);
