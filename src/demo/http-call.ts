import * as http from 'node:http';

/** One HTTP request to a listener on this machine. */
export interface HttpCall {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly token?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
}

/** A received HTTP answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** False when the connection broke before the end of the body. */
  readonly isComplete: boolean;
}

/**
 * Sends a request on a new connection. Rejects when the connection fails before the status line arrives.
 *
 * @example
 * const answer = await send({ port, method: 'GET', path: '/readyz' });
 */
export function send(call: HttpCall): Promise<HttpAnswer> {
  const authorization = call.token === undefined ? {} : { authorization: `Bearer ${call.token}` };
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        host: '127.0.0.1',
        port: call.port,
        method: call.method,
        path: call.path,
        agent: false,
        headers: { ...authorization, ...call.headers },
      },
      (response) => resolve(readAnswer(response)),
    );
    request.on('error', reject);
    request.end(call.body ?? '');
  });
}

async function readAnswer(response: http.IncomingMessage): Promise<HttpAnswer> {
  const parts: Buffer[] = [];
  try {
    for await (const part of response) {
      parts.push(part);
    }
  } catch {
    // The connection broke; `isComplete` is false then.
  }
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(parts).toString(),
    isComplete: response.complete,
  };
}
