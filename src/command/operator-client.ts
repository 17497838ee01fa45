import * as results from 'ts-results';
import * as undici from 'undici';
import type * as zod from 'zod';
import * as operatorApi from './operator-api';

/** Why a request to a daemon has no usable answer. */
export enum ClientFailureKind {
  /** No connection was made: the request was not processed. */
  NotConnected = 'not-connected',
  /** The request may have been processed; its answer was lost or is malformed. */
  AnswerLost = 'answer-lost',
  /** The daemon answered with an error. */
  Refused = 'refused',
}

/** A request without a usable answer. */
export interface ClientFailure {
  readonly kind: ClientFailureKind;
  readonly url: string;
  readonly message: string;
  /** Present when the daemon refused. */
  readonly code?: operatorApi.OperatorErrorCode;
  readonly problems: readonly string[];
}

type Answer<Body> = Promise<results.Result<Body, ClientFailure>>;

/** Sends requests to the operator interface of several daemons, any of which can answer. */
export class OperatorClient {
  /**
   * @param urls base URLs of operator listeners, in order of preference
   * @param token operator token, sent as bearer credential
   * @param timeoutMilliseconds longest wait for one answer
   */
  constructor(
    private readonly urls: readonly string[],
    private readonly token: string,
    private readonly timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
  ) {}

  status(): Answer<operatorApi.StatusResponse> {
    return this.read(operatorApi.OperatorPath.Status, operatorApi.statusResponseSchema);
  }

  configuration(): Answer<operatorApi.ConfigurationResponse> {
    return this.read(
      operatorApi.OperatorPath.Configuration,
      operatorApi.configurationResponseSchema,
    );
  }

  revisions(): Answer<operatorApi.RevisionsResponse> {
    return this.read(operatorApi.OperatorPath.Revisions, operatorApi.revisionsResponseSchema);
  }

  /** The newest accepted publishes, newest first. */
  history(limit: number): Answer<operatorApi.HistoryResponse> {
    const path = `${operatorApi.OperatorPath.History}?limit=${limit}`;
    return this.read(path, operatorApi.historyResponseSchema);
  }

  /**
   * Sends a publish once. Attempt numbers choose the daemons in turn, so that a resend after a lost
   * answer goes through another daemon when there is one.
   *
   * @example
   * const answer = await client.publish(request, 0);
   */
  publish(
    request: operatorApi.PublishRequest,
    attempt: number,
  ): Answer<operatorApi.PublishResponse> {
    return this.send(
      this.urls[attempt % this.urls.length],
      operatorApi.OperatorPath.Publish,
      operatorApi.publishResponseSchema,
      JSON.stringify(request),
    );
  }

  /** Sends the request to one daemon after the other until one answers or rejects the token. */
  private async read<Body>(path: string, schema: zod.ZodType<Body>): Answer<Body> {
    let answer = await this.send(this.urls[0], path, schema);
    for (const url of this.urls.slice(1)) {
      if (answer.ok || answer.val.code === operatorApi.OperatorErrorCode.Unauthorized) {
        return answer;
      }
      answer = await this.send(url, path, schema);
    }
    return answer;
  }

  private async send<Body>(
    url: string,
    path: string,
    schema: zod.ZodType<Body>,
    body?: string,
  ): Answer<Body> {
    try {
      const response = await undici.request(new URL(path, url), {
        method: body === undefined ? 'GET' : 'POST',
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
        body,
        // Sending on a pooled connection that the daemon closes would end as a lost answer.
        reset: true,
        signal: AbortSignal.timeout(this.timeoutMilliseconds),
      });
      return parseAnswer(url, response.statusCode, await response.body.json(), schema);
    } catch (error) {
      return results.Err(transportFailure(url, error as TransportError));
    }
  }
}

// Twice the time that a daemon waits for a majority.
const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;

/** System calls that fail before a request is sent. */
const CONNECTING_CALLS: readonly (string | undefined)[] = ['connect', 'getaddrinfo'];

interface TransportError extends Error {
  readonly code?: string;
  readonly syscall?: string;
  /** Present when a host name resolved to several addresses. */
  readonly errors?: readonly TransportError[];
}

function parseAnswer<Body>(
  url: string,
  status: number,
  body: unknown,
  schema: zod.ZodType<Body>,
): results.Result<Body, ClientFailure> {
  if (status === 200 || status === 409) {
    const parsed = schema.safeParse(body);
    return parsed.success
      ? results.Ok(parsed.data)
      : results.Err(
          answerLost(url, `${url} answered with a body that does not match the operator interface`),
        );
  }
  const refusal = operatorApi.errorResponseSchema.safeParse(body);
  if (!refusal.success) {
    return results.Err(answerLost(url, `${url} answered with HTTP status ${status}`));
  }
  const { code, message, problems } = refusal.data;
  return results.Err({
    kind: ClientFailureKind.Refused,
    url,
    code,
    problems,
    message: `${url} refused: ${message}`,
  });
}

function answerLost(url: string, message: string): ClientFailure {
  return { kind: ClientFailureKind.AnswerLost, url, message, problems: [] };
}

function transportFailure(url: string, error: TransportError): ClientFailure {
  if (isConnectError(error)) {
    const message = `${url} could not be connected to: ${error.message || error.code}`;
    return { kind: ClientFailureKind.NotConnected, url, message, problems: [] };
  }
  return answerLost(url, `the answer of ${url} was lost: ${error.message}`);
}

/**
 * Checks the system call and not the error code, because an established connection can end with the same
 * error codes as a failed connect, for example EHOSTUNREACH.
 */
function isConnectError(error: TransportError): boolean {
  if (error.errors !== undefined) {
    return error.errors.every(isConnectError);
  }
  return (
    CONNECTING_CALLS.includes(error.syscall) || error instanceof undici.errors.ConnectTimeoutError
  );
}
