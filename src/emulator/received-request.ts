import type * as http from 'node:http';

/** A request that a server has read completely. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A single value of a header, or an empty string. */
export function header(request: ReceivedRequest, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** The body as JSON; `undefined` if it is not valid JSON. */
export function json(request: ReceivedRequest): unknown {
  try {
    return JSON.parse(request.body.toString('utf8'));
  } catch {
    return undefined;
  }
}
