import type * as results from 'ts-results';
import * as verdict from '../verdict';
import type * as httpRequest from './http-request';
import type * as modelEngine from './model-engine';
import type * as probeReport from './probe-report';

/** One attempt at a request whose content the router does not inspect. */
export interface RelayRequest {
  /** The server has to echo this id in its answer. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Run of the server's process that is expected to answer; absent if none is known. */
  readonly incarnation?: string;
  /** Sends the request on a new connection. */
  readonly freshConnection: boolean;
  /** Time limit for the complete answer. */
  readonly timeoutMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Receives one answer: status and headers, data and end, or a failure in place of the remaining calls. */
export interface RelayReceiver {
  /** Called for each answer, refusals too. */
  onLimits(limits: ServerLimits): void;
  /** Called for each answer which says that the server leaves, refusals too. */
  onLeaving(): void;
  onHead(head: httpRequest.HttpHead, load: RelayLoad | undefined): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: verdict.RequestFailure, load: RelayLoad | undefined): void;
}

/** What a server in need asks for in an answer. */
export interface ServerLimits {
  /** Requests a second that the server takes from all daemons together; absent if it names no limit. */
  readonly requestsPerSecond?: number;
  /**
   * Requests that each server of the service may refuse in a second for want of room before it falls over, of all daemons
   * together; absent if it names no limit.
   */
  readonly refusalsPerSecond?: number;
  /** Time for which a server that turns the request away wants none of this daemon; absent if it asks for no pause. */
  readonly pauseMilliseconds?: number;
}

/** Load that a server reports in each answer. */
export interface RelayLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of requests relative to the normal duration; 1 if the server does not report it. */
  readonly slowness: number;
}

/** Why a receiver rejects an answer. */
export type AnswerFault = Pick<verdict.RequestFailure, 'reason' | 'message' | 'malformed'>;

/** Controls an answer in progress. */
export interface RelayHandle {
  /** Stops reading while the caller is slow. */
  pause(): void;
  resume(): void;
  /** Closes the connection because the rest of the answer is not needed. */
  cancel(): void;
  /** Closes the connection because the answer is invalid; the receiver gets the failure. */
  reject(fault: AnswerFault): void;
}

/** Room for one request that a server is asked to keep. */
export interface Room {
  /** Tokens of the prompt and of the longest answer. */
  readonly tokens: number;
  /** Time in which the request will arrive. */
  readonly milliseconds: number;
}

/** Port for one backend server, engine or plain service, whose requests pass unchanged. */
export abstract class RelayServer {
  /** Sends the request once; the receiver gets either an end or a failure. */
  abstract relay(request: RelayRequest, receiver: RelayReceiver): RelayHandle;

  abstract order(
    order: modelEngine.EngineOrder,
  ): Promise<results.Result<modelEngine.OrderOutcome, verdict.RequestFailure>>;

  /**
   * Reserves room for a request, which the server then runs ahead of those that wait. Returns the id of the reservation, or
   * `undefined` if the server cannot reserve room; `Err` if it has none or does not answer.
   */
  abstract reserve(room: Room): Promise<results.Result<string | undefined, verdict.RequestFailure>>;

  /** Gives reserved room back that no request will use. */
  abstract release(reservation: string): Promise<void>;

  /** Probes on a new connection, since a silent old connection does not mean that the server is dead. */
  abstract probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>>;

  /** Probes on a connection that is already open. */
  abstract probeOnOpenConnection(): Promise<
    results.Result<probeReport.ProbeReport, verdict.RequestFailure>
  >;

  abstract close(): Promise<void>;
}
