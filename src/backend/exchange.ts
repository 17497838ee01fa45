import * as undici from 'undici';
import * as clock from '../clock';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as answerStatus from './answer-status';
import type * as connection from './connection';
import type * as connectionPool from './connection-pool';
import * as headerName from './header-name';
import type * as httpRequest from './http-request';
import * as readFirstTimer from './read-first-timer';

/**
 * One request and its answer on one connection. It determines the verdict of every failure: "not run" until
 * undici begins to write the request, "may have run" from then on, except after a complete refusal.
 * Subclasses consume the answer.
 */
export abstract class Exchange implements undici.Dispatcher.DispatchHandler {
  /** Whether an answer without a length is complete when its connection is closed cleanly. */
  protected readonly allowsCloseDelimited: boolean = false;

  protected head: httpRequest.HttpHead | undefined;

  /** Whether the answer has no length and ends when its connection is closed. */
  protected isCloseDelimited = false;

  protected controller: undici.Dispatcher.DispatchController | undefined;

  private connection: connection.Connection | undefined;

  private mayHaveSent = false;

  private hasEnded = false;

  private timer: clock.Timer | undefined;

  constructor(
    protected readonly request: httpRequest.HttpRequest,
    protected readonly serverId: string,
    private readonly pool: connectionPool.ConnectionPool,
    private readonly time: clock.Clock,
  ) {}

  /** Sends the request. Call it once. */
  run(): void {
    const { signal } = this.request;
    if (signal?.aborted === true) {
      this.abandon(verdict.FailureReason.CallerGone, ABORTED);
      return;
    }
    signal?.addEventListener('abort', this.onAbort);
    this.connection = this.acquire();
    if (this.connection === undefined) {
      this.abandon(verdict.FailureReason.ConnectFailed, UNREACHABLE);
    } else {
      this.dispatch(this.connection);
    }
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    this.controller = controller;
    this.mayHaveSent = true;
    if (this.hasEnded) {
      controller.abort(new Error(ABORTED));
    }
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    rawHeaders: Record<string, string | string[] | undefined>,
  ): void {
    const kind = answerStatus.answerKind(status);
    if (this.hasEnded || kind === answerStatus.AnswerKind.Interim) {
      return;
    }
    if (kind === answerStatus.AnswerKind.Malformed) {
      this.abandonMalformed(INVALID_STATUS);
      return;
    }
    const headers = flatten(rawHeaders);
    if (!this.isOwnAnswer({ status, headers })) {
      this.abandon(verdict.FailureReason.AnswerMismatch, MISMATCH);
      return;
    }
    this.isCloseDelimited = !isFramed(this.request.method, status, headers);
    if (this.isCloseDelimited && !this.allowsCloseDelimited) {
      this.abandon(verdict.FailureReason.BackendError, UNFRAMED);
      return;
    }
    if (this.isCloseDelimited) {
      this.connection?.expectCloseDelimitedAnswer();
    }
    this.head = { status, headers };
    this.receiveHead(this.head);
  }

  onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection?.countBody(chunk.length);
    if (!this.hasEnded) {
      this.receiveData(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.hasEnded) {
      return;
    }
    this.finish();
    this.complete();
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    if (!this.mayHaveSent && error instanceof undici.errors.InvalidArgumentError) {
      this.abandon(verdict.FailureReason.BadRequest, 'The request cannot be sent over HTTP.');
    } else if (!this.mayHaveSent) {
      this.abandon(verdict.FailureReason.ConnectFailed, UNREACHABLE);
    } else if (isProtocolError(error)) {
      this.abandonMalformed('The backend server broke the protocol.');
    } else {
      this.abandon(verdict.FailureReason.ConnectionLost, 'The connection to the server was lost.');
    }
  }

  /** Abandons the exchange and destroys its connection, so that no late byte can reach another request. */
  protected abandon(reason: verdict.FailureReason, message: string): void {
    if (!this.hasEnded) {
      this.close();
      this.fail(this.failure(reason, this.outcome, message));
    }
  }

  /** Abandons the exchange because the server sent bytes that are not a valid answer. */
  protected abandonMalformed(message: string): void {
    if (this.hasEnded) {
      return;
    }
    this.close();
    const { method, label = method, requestId } = this.request;
    const receivedBytes = this.connection?.receivedBytes ?? 0;
    logger.warning('answer is malformed; closed its connection', {
      backendServer: this.serverId,
      call: label,
      requestId,
      receivedBytes,
      verdict: this.outcome,
      fault: message,
    });
    const { BackendError } = verdict.FailureReason;
    const failure = this.failure(BackendError, this.outcome, message);
    this.fail({ ...failure, malformed: true, receivedBytes });
  }

  private get outcome(): verdict.Verdict {
    return this.mayHaveSent ? verdict.Verdict.MayHaveRun : verdict.Verdict.NotRun;
  }

  private close(): void {
    this.stop();
    this.connection?.destroy();
  }

  /** Stops reading the answer, or goes on. */
  protected setPaused(isPaused: boolean): void {
    this.connection?.setPaused(isPaused);
    if (isPaused) {
      this.controller?.pause();
    } else {
      this.controller?.resume();
    }
  }

  /** Restarts the timer that abandons the exchange; 0 stops it. */
  protected setDeadline(milliseconds: number, message: string): void {
    this.timer?.cancel();
    if (milliseconds > 0 && !this.hasEnded) {
      this.timer = readFirstTimer.setReadFirstTimer(this.time, milliseconds, () =>
        this.abandon(verdict.FailureReason.Timeout, message),
      );
    }
  }

  /** The failure for a complete answer that is a refusal, with the verdict "not run"; otherwise `undefined`. */
  protected refusal(head: httpRequest.HttpHead): verdict.RequestFailure | undefined {
    const refused =
      head.status >= FIRST_ERROR_STATUS && head.headers[headerName.HeaderName.NotRun] === 'true';
    if (!refused) {
      return undefined;
    }
    this.recordRefusal();
    const leaving = head.headers[headerName.HeaderName.BackendState] === headerName.LEAVING;
    return this.failure(
      leaving ? verdict.FailureReason.BackendLeaving : verdict.FailureReason.BackendRefused,
      verdict.Verdict.NotRun,
      leaving ? 'The backend server is leaving.' : 'The backend server refused the request.',
      retryAfterMilliseconds(head),
    );
  }

  protected failure(
    reason: verdict.FailureReason,
    outcome: verdict.Verdict,
    message: string,
    retryAfter?: number,
  ): verdict.RequestFailure {
    const details = { backendServerId: this.serverId, retryAfterMilliseconds: retryAfter };
    return verdict.failure(reason, outcome, message, details);
  }

  /** Whether the connection was closed cleanly; only reliable some time after a close-delimited answer ended. */
  protected get hasClosedCleanly(): boolean {
    return this.connection?.hasClosedCleanly === true;
  }

  /** Whether bytes of earlier answers cannot arrive on the connection. */
  protected get isFirstOnConnection(): boolean {
    return this.connection?.isOnFirstAnswer === true;
  }

  /** Remembers at the connection that this request was refused on it. */
  protected recordRefusal(): void {
    this.connection?.recordRefusal(this.request.requestId);
  }

  protected sentHeaders(): Readonly<Record<string, string>> {
    return { ...this.request.headers, [headerName.HeaderName.RequestId]: this.request.requestId };
  }

  /** Whether an answer belongs to this request. */
  protected isOwnAnswer({ headers }: httpRequest.HttpHead): boolean {
    return headers[headerName.HeaderName.RequestId] === this.request.requestId;
  }

  /** Called once with the final status and headers after the request id was checked. */
  protected abstract receiveHead(head: httpRequest.HttpHead): void;

  protected abstract receiveData(chunk: Buffer): void;

  /** Called once when the answer is complete. */
  protected abstract complete(): void;

  /** Called once when the exchange has failed, instead of `complete`. */
  protected abstract fail(failure: verdict.RequestFailure): void;

  /** A connection from the pool; `undefined` if none can be opened, as with an address that is not valid. */
  private acquire(): connection.Connection | undefined {
    const { freshConnection, requestId } = this.request;
    try {
      return this.pool.acquire(freshConnection, requestId);
    } catch (error) {
      logger.warning('connection cannot be opened', {
        backendServer: this.serverId,
        requestId,
        reason: String(error),
      });
      return undefined;
    }
  }

  private dispatch(used: connection.Connection): void {
    const { method, path, body, freshConnection } = this.request;
    const options = {
      method: method as undici.Dispatcher.HttpMethod,
      path,
      headers: this.sentHeaders(),
      body: body.length === 0 ? null : Buffer.from(body.buffer, body.byteOffset, body.length),
      reset: freshConnection,
    };
    used.expectAnswer(() => this.abandonMalformed(EXCESS));
    used.dispatch(options, this);
  }

  private readonly onAbort = () => this.abandon(verdict.FailureReason.CallerGone, ABORTED);

  /**
   * Returns the connection to the pool. If more bytes follow the answer, undici destroys the socket before any
   * other code can run, so that the pool does not reuse it.
   */
  private finish(): void {
    this.stop();
    if (this.connection !== undefined) {
      this.pool.release(this.connection);
    }
  }

  private stop(): void {
    this.hasEnded = true;
    this.timer?.cancel();
    this.request.signal?.removeEventListener('abort', this.onAbort);
  }
}

const logger = new logging.Logger('backend');

const FIRST_ERROR_STATUS = 400;
const UNREACHABLE = 'The backend server is not reachable.';
const ABORTED = 'The request was cancelled.';
const MISMATCH = 'The backend server answered another request.';
const INVALID_STATUS = 'The backend server sent an answer with an invalid status.';
const EXCESS = 'The backend server sent bytes that are no answer.';
const UNFRAMED = 'The backend server sent an answer without a length.';

function flatten(
  headers: Record<string, string | string[] | undefined>,
): Readonly<Record<string, string>> {
  const entries = Object.entries(headers).map(([name, value]) => [
    name.toLowerCase(),
    Array.isArray(value) ? value.join(', ') : (value ?? ''),
  ]);
  return Object.fromEntries(entries);
}

/** Whether the end of an answer is marked. A close-delimited answer looks complete even if it was cut. */
function isFramed(
  method: string,
  status: number,
  headers: Readonly<Record<string, string>>,
): boolean {
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  const chunked = /\bchunked$/i.test(headers['transfer-encoding'] ?? '');
  return hasNoBody || chunked || headers['content-length'] !== undefined;
}

/**
 * An answer that was cut by the close of its connection is a lost connection, not a protocol error. undici
 * reports it as a parser error without data, which otherwise contains the bytes that could not be parsed.
 */
function isProtocolError(error: Error): boolean {
  return (
    error instanceof undici.errors.HeadersOverflowError ||
    (error instanceof undici.errors.SocketError && UNEXPECTED_ANSWERS.has(error.message)) ||
    (error instanceof undici.errors.HTTPParserError && 'data' in error && error.data !== '')
  );
}

/** Error messages of undici for unrequested answers with status 100 or 101 and for bytes before a request. */
const UNEXPECTED_ANSWERS = new Set(['bad response', 'bad upgrade']);

/**
 * The time of a `Retry-After` header, which may have fractions of a second.
 *
 * @example
 * retryAfterMilliseconds({ status: 503, headers: { 'retry-after': '0.3' } }); // 300
 */
export function retryAfterMilliseconds({ headers }: httpRequest.HttpHead): number | undefined {
  const text = headers['retry-after'] ?? '';
  return /^\d{1,6}(\.\d{1,6})?$/.test(text) ? Number(text) * 1_000 : undefined;
}
