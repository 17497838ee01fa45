import type * as results from 'ts-results';
import * as verdict from '../verdict';
import type * as httpRequest from './http-request';
import type * as modelEngine from './model-engine';
import type * as probeReport from './probe-report';

/** One attempt at a request whose content the router does not look into. */
export interface RelayRequest {
  /** Has to be echoed in the answer. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Opens a connection for this request. */
  readonly freshConnection: boolean;
  /** Time for the whole answer. */
  readonly timeoutMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Receives one answer: a head, its data and its end, or a failure instead of the rest. */
export interface RelayReceiver {
  onHead(head: httpRequest.HttpHead, load: RelayLoad | undefined): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: verdict.RequestFailure, load: RelayLoad | undefined): void;
}

/** What a server says of its load in each answer. */
export interface RelayLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at the moment compared with usual; 1 when the server does not say. */
  readonly slowness: number;
}

/** Why an answer is given up by its receiver. */
export type AnswerFault = Pick<verdict.RequestFailure, 'reason' | 'message' | 'garbled'>;

/** Controls an answer in progress. */
export interface RelayHandle {
  /** Stops reading while the caller is slow. */
  pause(): void;
  resume(): void;
  /** Closes the connection because nobody wants the rest. */
  cancel(): void;
  /** Closes the connection because the answer is faulty; the receiver gets the failure. */
  reject(fault: AnswerFault): void;
}

/** Port for one backend server, engine or plain service, whose requests pass unchanged. */
export abstract class RelayServer {
  /** Sends the request once; the receiver gets either an end or a failure. */
  abstract relay(request: RelayRequest, receiver: RelayReceiver): RelayHandle;

  abstract order(
    order: modelEngine.EngineOrder,
  ): Promise<results.Result<modelEngine.OrderOutcome, verdict.RequestFailure>>;

  /** Asks on a new connection, since silence on an old one does not mean that the server is dead. */
  abstract probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>>;

  /** Asks the same on a connection that is open already. */
  abstract probeOnOpenConnection(): Promise<
    results.Result<probeReport.ProbeReport, verdict.RequestFailure>
  >;

  abstract close(): Promise<void>;
}
