import * as clock from '../clock';
import * as verdict from '../verdict';
import type * as connectionPool from './connection-pool';
import * as exchange from './exchange';
import type * as httpRequest from './http-request';
import type * as relayServer from './relay-server';

/** What a platform's headers say about an answer. */
export interface AnswerMetadata {
  /** The request id that the server echoes, if it does. */
  readonly requestId?: string;
  /** Why the server did not run the request; absent when it does not say so. */
  readonly refusal?: verdict.FailureReason;
  /** Whether the body is the server's own, unchanged one; only asked of successes. */
  readonly isGenuine: boolean;
  readonly load?: relayServer.RelayLoad;
}

/** Reads the facts of an answer's head. */
export type AnswerMetadataReader = (head: httpRequest.HttpHead) => AnswerMetadata;

/** An exchange whose answer goes to a receiver as it arrives. */
export class RelayExchange extends exchange.Exchange implements relayServer.RelayHandle {
  /** An answer without a length ends with its connection; a reset is reported as an error. */
  protected override readonly allowsCloseDelimited = true;

  private facts: AnswerMetadata | undefined;

  constructor(
    private readonly relayed: relayServer.RelayRequest,
    serverId: string,
    pool: connectionPool.ConnectionPool,
    time: clock.Clock,
    private readonly readFacts: AnswerMetadataReader,
    private readonly receiver: relayServer.RelayReceiver,
    /** Asks whether the server still runs, since the end of its process closes connections in order too. */
    private readonly isAlive: () => Promise<boolean>,
  ) {
    super(relayed, serverId, pool, time);
  }

  start(): void {
    this.setDeadline(this.relayed.timeoutMilliseconds, 'The backend server did not end in time.');
    this.run();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  cancel(): void {
    this.abandon(verdict.FailureReason.CallerGone, 'The request was cancelled.');
  }

  reject({ reason, message, garbled }: relayServer.AnswerFault): void {
    if (garbled === true) {
      this.abandonGarbled(message);
    } else {
      this.abandon(reason, message);
    }
  }

  protected override sentHeaders(): Readonly<Record<string, string>> {
    return this.relayed.headers;
  }

  protected override isOwnAnswer(head: httpRequest.HttpHead): boolean {
    this.facts = this.readFacts(head);
    const { requestId, refusal } = this.facts;
    // A server that refuses before it reads the request may not know the id.
    return requestId === this.relayed.requestId || (requestId === undefined && !!refusal);
  }

  protected override receiveHead(head: httpRequest.HttpHead): void {
    if (this.facts?.refusal !== undefined) {
      return;
    }
    const isSuccess = head.status < 300;
    if (isSuccess && this.facts?.isGenuine !== true) {
      this.abandon(verdict.FailureReason.BackendError, 'The answer is not marked as genuine.');
      return;
    }
    this.receiver.onHead(head, this.facts?.load);
  }

  protected override receiveData(chunk: Buffer): void {
    if (this.facts?.refusal === undefined) {
      this.receiver.onData(chunk);
    }
  }

  protected override complete(): void {
    const { refusal, load } = this.facts ?? {};
    if (refusal === undefined) {
      this.end();
      return;
    }
    const message = 'The backend server did not run the request.';
    this.receiver.onFailure(this.failure(refusal, verdict.Verdict.NotRun, message), load);
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
    this.receiver.onFailure(failure, this.facts?.load);
  }
}
