import type * as results from 'ts-results';
import * as verdict from '../verdict';
import type * as engineStream from './engine-stream';
import type * as loadReport from './load-report';
import type * as probeReport from './probe-report';

/** One generation request for an engine. The engine always streams. */
export interface EngineRequest {
  /** Echoed by the engine; an answer with another id is discarded. Attempts at one request share it. */
  readonly requestId: string;
  /** `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string;
  /** JSON body with `stream` set. */
  readonly body: string;
  readonly team: string;
  readonly model: string;
  readonly weightsVersion: string;
  /** Higher runs first. */
  readonly priority: number;
  /** Chain hashes of the prompt's prefixes in hexadecimal, shortest first; cache events refer to them. */
  readonly prefixChain: readonly string[];
  /** Number of the first piece to send; 0 starts the request. */
  readonly resumeFrom: number;
  /** Sends the request on a new connection. */
  readonly freshConnection: boolean;
  /** Cancels the request and destroys its connection. */
  readonly signal: AbortSignal;
}

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
}

/** A change of an engine's prefix cache. Events arrive late, and sequence numbers may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  /** Chain hash of the prefix in hexadecimal, as the router sent it with the request. */
  readonly chainHash: string;
}

export interface CacheEventPage {
  readonly incarnation: string;
  readonly events: readonly CacheEvent[];
  /** The value of `after` for the next page. */
  readonly nextSequence: number;
}

export enum OrderKind {
  LoadWeights = 'load-weights',
  LoadAdapter = 'load-adapter',
  SetRole = 'set-role',
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly fencingNumber: number;
  /** Weights version, adapter name or role. */
  readonly value: string;
  /** Number of orders that the engine must have accepted before; an engine that counts refuses the order otherwise. */
  readonly expectedOrders?: number;
}

export enum OrderOutcome {
  Accepted = 'accepted',
  /** The engine has already received a higher fencing number. */
  StaleFencingNumber = 'stale-fencing-number',
}

/** Port for one model engine. Every failure carries a verdict. */
export abstract class ModelEngine {
  /** Starts or resumes a stream; resolves when the `head` event of the answer has arrived. */
  abstract start(
    request: EngineRequest,
  ): Promise<results.Result<engineStream.EngineStream, verdict.RequestFailure>>;

  abstract load(): Promise<results.Result<loadReport.LoadReport, verdict.RequestFailure>>;

  /** Events with sequence numbers greater than `after`. */
  abstract cacheEvents(
    after: number,
  ): Promise<results.Result<CacheEventPage, verdict.RequestFailure>>;

  abstract order(order: EngineOrder): Promise<results.Result<OrderOutcome, verdict.RequestFailure>>;

  /** Probes on a new connection, since a silent old connection does not mean that the engine is dead. */
  abstract probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>>;

  abstract close(): Promise<void>;
}
