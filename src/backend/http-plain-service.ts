import * as results from 'ts-results';
import * as clock from '../clock';
import * as verdict from '../verdict';
import * as backendAddress from './backend-address';
import * as backendLimits from './backend-limits';
import * as connectionPool from './connection-pool';
import type * as loadReport from './load-report';
import * as managementClient from './management-client';
import * as plainService from './plain-service';
import type * as probeReport from './probe-report';
import * as wholeExchange from './whole-exchange';

/**
 * Adapter for one server of a plain HTTP service; docs/BACKENDS.md describes the protocol.
 *
 * @example
 * const ledger = new HttpPlainService({ serverId: 'ledger-1', host: '127.0.0.1', port }, clock);
 */
export class HttpPlainService extends plainService.PlainService {
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

  override async call(
    request: plainService.PlainRequest,
  ): Promise<results.Result<plainService.PlainAnswer, verdict.RequestFailure>> {
    const limits = {
      timeoutMilliseconds: request.timeoutMilliseconds,
      maximumBytes: this.limits.maximumAnswerBytes,
    };
    const result = await new wholeExchange.WholeExchange(
      { ...request, headers: endToEnd(request.headers) },
      this.address.serverId,
      this.pool,
      this.time,
      limits,
    ).answer();
    return result.map((answer) => ({ ...answer, headers: endToEnd(answer.headers) }));
  }

  override load(): Promise<results.Result<loadReport.LoadReport, verdict.RequestFailure>> {
    return this.management.load();
  }

  override probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>> {
    return this.management.probe();
  }

  override async close(): Promise<void> {
    this.pool.close();
  }
}

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or that undici sets itself. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function endToEnd(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
  const kept = Object.entries(headers)
    .map(([name, value]) => [name.toLowerCase(), value])
    .filter(([name]) => !CONNECTION_HEADERS.has(name));
  return Object.fromEntries(kept);
}
