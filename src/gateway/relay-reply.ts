import type * as http from 'node:http';
import * as backend from '../backend';
import * as clock from '../clock';
import * as daemon from '../daemon';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as answerTimings from './answer-timing';
import * as forwardHeader from './forward-header';

/** Fields that identify a reply in the logs. */
export interface ReplyIdentity {
  readonly requestId: string;
  readonly route?: string;
  readonly team?: string;
  /** Size of the request: tokens of the prompt and of the longest answer that the caller accepts. */
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  /** Version and age of the routing document that a refusal was decided from. */
  readonly routingVersion?: number;
  readonly copyAgeMilliseconds?: number;
}

/** Writes one answer to a caller and logs how the request ended. */
export class RelayReply {
  identity: ReplyIdentity = { requestId: '' };

  private timing: answerTimings.AnswerTiming;

  private isLogged = false;

  private outcome: logging.LogFields = { reason: verdict.FailureReason.CallerGone };

  constructor(
    private readonly response: http.ServerResponse,
    private readonly time: clock.Clock,
    /** Called when the head is written: a stopping daemon closes connections, so that callers reconnect elsewhere. */
    private readonly closesConnection: () => boolean,
    /** Present if another gateway has forwarded the request; it is echoed to that gateway. */
    private readonly forwardId?: string,
  ) {
    this.timing = answerTimings.startTiming(time.monotonic());
    response.once('close', () => this.log());
  }

  /** True once the status has been sent. */
  get hasSentHeaders(): boolean {
    return this.response.headersSent;
  }

  get isClosed(): boolean {
    return this.response.destroyed || this.response.writableEnded;
  }

  /** Calls `listener` when the caller closes the connection before the answer is complete. */
  onCallerDisconnect(listener: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) {
        listener();
      }
    });
  }

  /** Calls `listener` once the response is closed and no bytes of the answer are buffered any more. */
  onClosed(listener: () => void): void {
    if (this.response.closed) {
      listener();
    } else {
      this.response.once('close', listener);
    }
  }

  writeHead({ status, headers }: backend.HttpHead): void {
    if (!this.hasSentHeaders && !this.isClosed) {
      this.response.writeHead(status, {
        ...answerHeaders(headers),
        ...this.forwardHeaders(),
        ...this.connectionHeader(),
      });
    }
  }

  /** Writes a part of the body; if it returns false, `onDrained` is called when the caller can receive more. */
  write(bytes: Buffer, onDrained: () => void): boolean {
    this.timing = answerTimings.pieceWritten(this.timing, this.time.monotonic());
    if (this.isClosed || this.response.write(bytes)) {
      return true;
    }
    this.response.once('drain', onDrained);
    return false;
  }

  /** Ends an answer whose head is written. */
  end(fields: logging.LogFields): void {
    this.outcome = { verdict: verdict.Verdict.Ran, ...fields };
    if (!this.isClosed) {
      this.response.end();
    }
  }

  /** Sends a complete answer. */
  send(head: backend.HttpHead, body: Buffer, fields: logging.LogFields): void {
    this.outcome = { verdict: verdict.Verdict.Ran, ...fields };
    if (!this.isClosed) {
      const length = hasBody(head) ? { 'content-length': String(body.length) } : {};
      this.response.writeHead(head.status, {
        ...answerHeaders(head.headers),
        ...this.forwardHeaders(),
        ...length,
        ...this.connectionHeader(),
      });
      this.response.end(body);
    }
  }

  /** Answers with a failure, or closes the connection if a part of the answer was already written. */
  fail(failure: verdict.RequestFailure): void {
    const { reason, verdict: outcome, backendServerId, retryAfterMilliseconds } = failure;
    this.outcome = { reason, verdict: outcome, backendServer: backendServerId };
    if (this.hasSentHeaders) {
      this.response.destroy();
      this.log();
      return;
    }
    if (!this.isClosed) {
      const body = Buffer.from(JSON.stringify(daemon.errorBody(failure)));
      this.response.writeHead(statusOf(failure), {
        'content-type': 'application/json; charset=utf-8',
        'content-length': String(body.length),
        ...retryAfter(failure, retryAfterMilliseconds),
        ...this.forwardHeaders(outcome),
        ...this.connectionHeader(),
      });
      this.response.end(body);
    }
  }

  /** @param outcome verdict of a failure of this gateway; absent for the answers of backend servers */
  private forwardHeaders(outcome?: verdict.Verdict): http.OutgoingHttpHeaders {
    return this.forwardId === undefined
      ? {}
      : {
          [forwardHeader.ForwardHeader.Id]: this.forwardId,
          ...(outcome === undefined ? {} : { [forwardHeader.ForwardHeader.Verdict]: outcome }),
        };
  }

  private connectionHeader(): http.OutgoingHttpHeaders {
    return this.closesConnection() ? { connection: 'close' } : {};
  }

  /** Logs the end once: a process that stops may end before a destroyed connection is closed. */
  private log(): void {
    if (this.isLogged) {
      return;
    }
    this.isLogged = true;
    logger.information('request ended', {
      ...this.identity,
      status: this.response.statusCode,
      durationMilliseconds: Math.round(this.time.monotonic() - this.timing.startedAt),
      ...answerTimings.timingFields(this.timing),
      ...this.outcome,
    });
  }
}

const logger = new logging.Logger('caller');

const { Verdict, FailureReason } = verdict;

/** Failures that the caller caused and that have their own status; every other one that was not run gets 503. */
const CALLER_ERRORS = new Set([
  FailureReason.BadRequest,
  FailureReason.Unauthorized,
  FailureReason.UnknownRoute,
  FailureReason.RequestTooLarge,
]);

/** 503 guarantees that the request did not run and will not; 502 and 504 guarantee nothing. */
function statusOf(failure: verdict.RequestFailure): number {
  if (failure.verdict === Verdict.NotRun) {
    return CALLER_ERRORS.has(failure.reason) ? verdict.httpStatus(failure.reason) : 503;
  }
  return failure.reason === FailureReason.Timeout ? 504 : 502;
}

function retryAfter(
  failure: verdict.RequestFailure,
  milliseconds = DEFAULT_RETRY_MILLISECONDS,
): http.OutgoingHttpHeaders {
  return statusOf(failure) === 503 ? { 'retry-after': (milliseconds / 1_000).toFixed(3) } : {};
}

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the router sets itself. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'date',
  ...forwardHeader.FORWARD_HEADERS,
]);

function answerHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name)),
  );
}

/** Responses with these statuses have no `Content-Length` (RFC 9110, section 8.6). */
function hasBody({ status }: backend.HttpHead): boolean {
  return status !== 204 && status !== 304;
}

/** About the time in which a queue of short requests advances. */
const DEFAULT_RETRY_MILLISECONDS = 300;
