import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as zod from 'zod';
import * as clock from '../clock';
import * as verdict from '../verdict';
import * as backendAddress from './backend-address';
import * as backendLimits from './backend-limits';
import * as connectionPool from './connection-pool';
import type * as engineStream from './engine-stream';
import * as headerName from './header-name';
import type * as loadReport from './load-report';
import * as managementClient from './management-client';
import * as modelEngine from './model-engine';
import type * as probeReport from './probe-report';
import * as streamExchange from './stream-exchange';
import * as engineStreamListener from './engine-stream-listener';

/**
 * Adapter for an engine that implements the protocol in docs/BACKENDS.md.
 *
 * @example
 * const engine = new HttpModelEngine({ serverId: 'runner-1', host: '127.0.0.1', port }, clock);
 */
export class HttpModelEngine extends modelEngine.ModelEngine {
  private readonly pool: connectionPool.ConnectionPool;

  private readonly management: managementClient.ManagementClient;

  constructor(
    private readonly address: backendAddress.BackendAddress,
    private readonly time: clock.Clock,
    private readonly limits: backendLimits.BackendLimits = backendLimits.DEFAULT_LIMITS,
  ) {
    super();
    this.pool = new connectionPool.ConnectionPool(address, limits, time);
    this.management = new managementClient.ManagementClient(address, limits, time, this.pool);
  }

  override start(
    request: modelEngine.EngineRequest,
  ): Promise<results.Result<engineStream.EngineStream, verdict.RequestFailure>> {
    const attemptId = crypto.randomUUID();
    const { serverId } = this.address;
    const listener = new engineStreamListener.EngineStreamListener(
      this.limits.maximumBufferedBytes,
      () => this.cancelOnEngine(attemptId),
    );
    const exchange = new streamExchange.StreamExchange(
      httpRequestFor(request, attemptId),
      serverId,
      this.pool,
      this.time,
      this.limits,
      listener,
    );
    listener.exchange = exchange;
    exchange.start();
    return listener.result;
  }

  override load(): Promise<results.Result<loadReport.LoadReport, verdict.RequestFailure>> {
    return this.management.load();
  }

  override cacheEvents(
    after: number,
  ): Promise<results.Result<modelEngine.CacheEventPage, verdict.RequestFailure>> {
    const path = `/backend/cache-events?after=${after}`;
    return this.management.read({ method: 'GET', path, freshConnection: false }, cacheEventsSchema);
  }

  override async order(
    order: modelEngine.EngineOrder,
  ): Promise<results.Result<modelEngine.OrderOutcome, verdict.RequestFailure>> {
    const path = '/backend/orders';
    const call = { method: 'POST', path, body: order, freshConnection: true } as const;
    const result = await this.management.call(call);
    if (result.err) {
      return result;
    }
    const { status } = result.val;
    const outcome = OUTCOME_BY_STATUS.get(status);
    return outcome === undefined
      ? results.Err(this.management.unexpectedAnswer(status))
      : results.Ok(outcome);
  }

  override probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>> {
    return this.management.probe();
  }

  override async close(): Promise<void> {
    this.pool.close();
  }

  /**
   * Stops the generation of an attempt whose connection was destroyed, which the engine cannot detect on a
   * half-open connection. Best effort: if the call fails, the engine completes an answer that nobody reads.
   */
  private cancelOnEngine(attemptId: string): void {
    const body = { attemptId };
    this.management.call({ method: 'POST', path: '/backend/cancel', body, freshConnection: true });
  }
}

/** Engines accept 32 KiB of headers; the remaining 8 KiB are for the other headers. */
const MAXIMUM_CHAIN_BYTES = 24 * 1_024;

const OUTCOME_BY_STATUS = new Map([
  [202, modelEngine.OrderOutcome.Accepted],
  [409, modelEngine.OrderOutcome.StaleFencingNumber],
]);

const cacheEventsSchema = zod.object({
  incarnation: zod.string().min(1),
  nextSequence: zod.int().min(0),
  events: zod.array(
    zod.object({
      sequence: zod.int().min(0),
      kind: zod.enum(modelEngine.CacheEventKind),
      chainHash: zod.string(),
    }),
  ),
});

function httpRequestFor(request: modelEngine.EngineRequest, attemptId: string) {
  const { RequestId, AttemptId, Team, Model, WeightsVersion, Priority, PrefixChain, ResumeFrom } =
    headerName.HeaderName;
  return {
    requestId: request.requestId,
    method: 'POST',
    path: request.path,
    headers: {
      accept: 'text/event-stream',
      'content-type': 'application/json',
      [RequestId]: request.requestId,
      [AttemptId]: attemptId,
      [Team]: request.team,
      [Model]: request.model,
      [WeightsVersion]: request.weightsVersion,
      [Priority]: String(request.priority),
      [PrefixChain]: chainHeader(request.prefixChain),
      [ResumeFrom]: String(request.resumeFrom),
    },
    body: Buffer.from(request.body),
    freshConnection: request.freshConnection,
    signal: request.signal,
  };
}

/** The shortest prefixes are shared most, so a chain that is too long is truncated at its end. */
function chainHeader(chain: readonly string[]): string {
  const text = chain.join(',');
  return text.length <= MAXIMUM_CHAIN_BYTES
    ? text
    : text.slice(0, text.lastIndexOf(',', MAXIMUM_CHAIN_BYTES));
}
