import type * as http from 'node:http';
import * as clock from '../clock';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as errorBody from './error-body';

/** Data that identifies a reply to the caller and in the logs. */
export interface ReplyIdentity {
  readonly requestId: string;
  readonly team?: string;
  readonly method: string;
  readonly path: string;
  /** Called when the status line and headers are written. */
  readonly revision: () => number;
  /** Called likewise: a daemon that shuts down closes connections, so that callers reconnect to another daemon. */
  readonly closesConnection: () => boolean;
}

/** Headers in either form that Node.js accepts. */
export type ReplyHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Writes one answer to a caller, with backpressure, and logs how the request ended. */
export class CallerReply {
  private readonly startedAt: number;

  private outcome: logging.LogFields = { reason: verdict.FailureReason.CallerGone };

  constructor(
    private readonly response: http.ServerResponse,
    private readonly identity: ReplyIdentity,
    private readonly time: clock.Clock,
  ) {
    this.startedAt = time.monotonic();
    response.once('close', () => this.log());
  }

  get requestId(): string {
    return this.identity.requestId;
  }

  /** True once status and headers have been sent. */
  get hasSentHeaders(): boolean {
    return this.response.headersSent;
  }

  /** True once the response has ended or its connection is closed. */
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

  writeHead(status: number, headers: ReplyHeaders): void {
    if (this.hasSentHeaders || this.isClosed) {
      return;
    }
    this.response.writeHead(status, {
      ...(headers as http.OutgoingHttpHeaders),
      'x-request-id': this.identity.requestId,
      'x-figline-revision': String(this.identity.revision()),
      ...(this.identity.closesConnection() ? { connection: 'close' } : {}),
    });
  }

  /**
   * Writes a part of the body; resolves when the connection accepts more data or is closed. Closes the
   * connection of a caller that reads nothing for `timeoutMilliseconds`, since it would occupy its backend
   * server forever.
   */
  async write(text: string, timeoutMilliseconds: number): Promise<void> {
    if (this.isClosed || this.response.write(text)) {
      return;
    }
    await this.waitForDrain(timeoutMilliseconds);
  }

  /** Ends a successful answer. */
  end(body?: string | Uint8Array): void {
    this.outcome = { verdict: verdict.Verdict.Ran };
    if (!this.isClosed) {
      this.response.end(body);
    }
  }

  /** Ends a started stream with an error event, so that no client treats it as complete. */
  endWithErrorEvent(failure: verdict.RequestFailure): void {
    this.recordFailure(failure);
    if (!this.isClosed) {
      this.response.end(`event: error\ndata: ${JSON.stringify(errorBody.errorBody(failure))}\n\n`);
    }
  }

  /** Sends an error response when no status line has been sent. */
  fail(failure: verdict.RequestFailure): void {
    this.recordFailure(failure);
    this.writeHead(verdict.httpStatus(failure.reason), {
      ...errorBody.errorHeaders(failure),
      'content-type': 'application/json; charset=utf-8',
    });
    if (!this.isClosed) {
      this.response.end(JSON.stringify(errorBody.errorBody(failure)));
    }
  }

  private recordFailure(failure: verdict.RequestFailure): void {
    const { reason, verdict: outcome, backendServerId } = failure;
    this.outcome = { reason, verdict: outcome, backendServer: backendServerId };
  }

  private waitForDrain(timeoutMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.time.setTimer(timeoutMilliseconds, () => {
        logger.warning('caller has not read its answer in time; closing its connection', {
          requestId: this.requestId,
        });
        this.response.destroy();
      });
      const finish = () => {
        timer.cancel();
        this.response.off('drain', finish);
        this.response.off('close', finish);
        resolve();
      };
      this.response.once('drain', finish);
      this.response.once('close', finish);
    });
  }

  private log(): void {
    const { requestId, team, method, path } = this.identity;
    logger.information('request ended', {
      requestId,
      team,
      method,
      path,
      status: this.response.statusCode,
      durationMilliseconds: Math.round(this.time.monotonic() - this.startedAt),
      ...this.outcome,
    });
  }
}

const logger = new logging.Logger('caller');
