import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as zod from 'zod';
import * as clock from '../clock';
import * as verdict from '../verdict';
import type * as backendAddress from './backend-address';
import type * as backendLimits from './backend-limits';
import * as connectionPool from './connection-pool';
import type * as loadReport from './load-report';
import type * as probeReport from './probe-report';
import * as wholeExchange from './whole-exchange';

/** One management call. */
export interface ManagementCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: object;
  readonly freshConnection: boolean;
}

/** Client for the management calls of a backend server: load, probe and other calls with JSON bodies. */
export class ManagementClient {
  private readonly idPrefix = crypto.randomUUID();

  private nextId = 0;

  constructor(
    private readonly address: backendAddress.BackendAddress,
    private readonly limits: backendLimits.BackendLimits,
    private readonly time: clock.Clock,
    private readonly pool: connectionPool.ConnectionPool,
  ) {}

  load(): Promise<results.Result<loadReport.LoadReport, verdict.RequestFailure>> {
    return this.read({ ...GET, path: '/backend/load', freshConnection: false }, loadSchema);
  }

  probe(): Promise<results.Result<probeReport.ProbeReport, verdict.RequestFailure>> {
    return this.read({ ...GET, path: '/backend/probe', freshConnection: true }, probeSchema);
  }

  /** Sends a call and validates the answer against a schema; any status but 200 is a failure. */
  async read<Answer>(
    call: ManagementCall,
    schema: zod.ZodType<Answer>,
  ): Promise<results.Result<Answer, verdict.RequestFailure>> {
    const result = await this.call(call);
    if (result.err) {
      return result;
    }
    const { status, body } = result.val;
    const parsed = status === 200 ? schema.safeParse(parseJson(body)) : undefined;
    return parsed?.success === true
      ? results.Ok(parsed.data)
      : results.Err(this.unexpectedAnswer(status));
  }

  /** Sends a call and returns any complete answer, whatever its status. */
  call(
    call: ManagementCall,
  ): Promise<results.Result<wholeExchange.HttpAnswer, verdict.RequestFailure>> {
    this.nextId += 1;
    const request = {
      requestId: `${this.idPrefix}-${this.nextId}`,
      method: call.method,
      path: call.path,
      label: `${call.method} ${call.path.split('?')[0]}`,
      headers: JSON_HEADERS,
      body: Buffer.from(call.body === undefined ? '' : JSON.stringify(call.body)),
      freshConnection: call.freshConnection,
    };
    const { managementMilliseconds, maximumManagementBytes } = this.limits;
    const limits = {
      timeoutMilliseconds: managementMilliseconds,
      maximumBytes: maximumManagementBytes,
    };
    return new wholeExchange.WholeExchange(
      request,
      this.address.serverId,
      this.pool,
      this.time,
      limits,
    ).answer();
  }

  /** The failure for a complete answer with an unexpected status or body. */
  unexpectedAnswer(status: number): verdict.RequestFailure {
    return verdict.failure(
      verdict.FailureReason.BackendError,
      verdict.Verdict.Ran,
      `The backend server sent an unexpected answer with status ${status}.`,
      { backendServerId: this.address.serverId },
    );
  }
}

const JSON_HEADERS = { 'content-type': 'application/json' };

const GET = { method: 'GET' } as const;

const countSchema = zod.int().min(0);

const loadSchema = zod.object({
  incarnation: zod.string().min(1),
  weightsVersion: zod.string(),
  ageMilliseconds: zod.number().min(0),
  runningRequests: countSchema,
  queuedRequests: countSchema,
  queuedPrefillTokens: countSchema,
});

const probeSchema = zod.object({
  incarnation: zod.string().min(1),
  /** Empty for a server without weights. */
  weightsVersion: zod.string().transform((version) => (version === '' ? undefined : version)),
  leaving: zod.boolean(),
  loading: zod.boolean().optional(),
});

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
