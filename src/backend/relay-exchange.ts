import * as clock from '../clock';
import * as verdict from '../verdict';
import type * as connectionPool from './connection-pool';
import * as exchange from './exchange';
import type * as httpRequest from './http-request';
import type * as relayServer from './relay-server';

/** Metadata of an answer, read from the platform's headers. */
export interface AnswerMetadata {
  /** The request id that the server echoed, if there is one. */
  readonly requestId?: string;
  /** Why the server did not run the request; absent unless the server reports a refusal. */
  readonly refusal?: verdict.FailureReason;
  /** Whether the headers prove that the body is the server's and unchanged; required of successful answers only. */
  readonly isGenuine: boolean;
  readonly load?: relayServer.RelayLoad;
  readonly limits: relayServer.ServerLimits;
  /** Present if the server says that it leaves. */
  readonly isLeaving?: true;
  /** When a refused request may be sent again, if the answer says so to the caller. */
  readonly retryAfterMilliseconds?: number;
}

/** Reads the metadata from the status and headers of an answer. */
export type AnswerMetadataReader = (head: httpRequest.HttpHead) => AnswerMetadata;

/** An exchange that passes the answer to a receiver as it arrives. */
export class RelayExchange extends exchange.Exchange implements relayServer.RelayHandle {
  /** An answer without a length ends when its connection is closed; a reset is reported as a failure. */
  protected override readonly allowsCloseDelimited = true;

  private metadata: AnswerMetadata | undefined;

  constructor(
    private readonly relayRequest: relayServer.RelayRequest,
    serverId: string,
    pool: connectionPool.ConnectionPool,
    time: clock.Clock,
    private readonly readMetadata: AnswerMetadataReader,
    private readonly receiver: relayServer.RelayReceiver,
    /** Checks whether the server's process still runs, since a process that ends also closes its connections cleanly. */
    private readonly isAlive: () => Promise<boolean>,
  ) {
    super(relayRequest, serverId, pool, time);
  }

  start(): void {
    this.setDeadline(
      this.relayRequest.timeoutMilliseconds,
      'The backend server did not end in time.',
    );
    this.run();
  }

  pause(): void {
    this.setPaused(true);
  }

  resume(): void {
    this.setPaused(false);
  }

  cancel(): void {
    this.abandon(verdict.FailureReason.CallerGone, 'The request was cancelled.');
  }

  reject({ reason, message, malformed }: relayServer.AnswerFault): void {
    if (malformed === true) {
      this.abandonMalformed(message);
    } else {
      this.abandon(reason, message);
    }
  }

  protected override sentHeaders(): Readonly<Record<string, string>> {
    return this.relayRequest.headers;
  }

  protected override isOwnAnswer(head: httpRequest.HttpHead): boolean {
    this.metadata = this.readMetadata(head);
    const { requestId, refusal } = this.metadata;
    // A server that refuses a request before reading it may not have the id. After another answer on the connection, such
    // a refusal may be an earlier one that a faulty server has written once more.
    const isNameless = requestId === undefined && refusal !== undefined && this.isFirstOnConnection;
    return requestId === this.relayRequest.requestId || isNameless;
  }

  protected override receiveHead(head: httpRequest.HttpHead): void {
    this.receiver.onLimits(this.metadata?.limits ?? {});
    if (this.metadata?.isLeaving === true) {
      this.receiver.onLeaving();
    }
    if (this.metadata?.refusal !== undefined) {
      return;
    }
    const isSuccess = head.status < 300;
    if (isSuccess && this.metadata?.isGenuine !== true) {
      this.abandon(verdict.FailureReason.BackendError, 'The answer is not marked as genuine.');
      return;
    }
    this.receiver.onHead(head, this.metadata?.load);
  }

  protected override receiveData(chunk: Buffer): void {
    if (this.metadata?.refusal === undefined) {
      this.receiver.onData(chunk);
    }
  }

  protected override complete(): void {
    const { refusal, load, retryAfterMilliseconds } = this.metadata ?? {};
    if (refusal === undefined) {
      this.end();
      return;
    }
    this.recordRefusal();
    const message = 'The backend server did not run the request.';
    const { NotRun } = verdict.Verdict;
    this.receiver.onFailure(this.failure(refusal, NotRun, message, retryAfterMilliseconds), load);
  }

  private async end(): Promise<void> {
    const isAlive = !this.isCloseDelimited || (await this.isAlive());
    if (isAlive && (!this.isCloseDelimited || this.hasClosedCleanly)) {
      this.receiver.onEnd();
      return;
    }
    const message = 'The connection broke during an answer without a length.';
    const { ConnectionLost } = verdict.FailureReason;
    const failure = this.failure(ConnectionLost, verdict.Verdict.MayHaveRun, message);
    this.receiver.onFailure(failure, undefined);
  }

  protected override fail(failure: verdict.RequestFailure): void {
    this.receiver.onFailure(failure, this.metadata?.load);
  }
}
