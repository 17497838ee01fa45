import type * as results from 'ts-results';
import * as verdict from '../verdict';
import type * as loadReport from './load-report';
import type * as probeReport from './probe-report';

/** One HTTP request for a plain service. */
export interface PlainRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Must be true for a non-idempotent request, since a pooled connection may be half open. */
  readonly freshConnection: boolean;
  readonly timeoutMilliseconds: number;
  readonly signal: AbortSignal;
}

/** An answer with its complete body; an incomplete answer is a failed call instead. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Port for one server of a plain service. */
export abstract class PlainService {
  /** Sends the request once, without retries. */
  abstract call(
    request: PlainRequest,
  ): Promise<results.Result<PlainAnswer, verdict.RequestFailure>>;

  abstract load(): Promise<results.Result<loadReport.LoadReport, verdict.RequestFailure>>;

  /** Probes on a new connection, since a silent old connection does not mean that the server is dead. */
  abstract probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>>;

  abstract close(): Promise<void>;
}
