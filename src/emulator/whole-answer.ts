import type * as http from 'node:http';
import * as backend from '../backend';

/** A complete answer of an emulated server. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON unless it is a buffer. */
  readonly body: object | Buffer;
}

/** A refusal with `x-not-run`, for a request that was not run. */
export function refusal(status: number, code: string, leaving = false): WholeAnswer {
  const headers: Record<string, string> = {
    [backend.HeaderName.NotRun]: 'true',
    'retry-after': '1',
  };
  if (leaving) {
    headers[backend.HeaderName.BackendState] = backend.LEAVING;
  }
  return {
    status,
    headers,
    body: { error: { code } },
  };
}

/** Sends an answer with its length and the echoed request id. */
export function send(response: http.ServerResponse, requestId: string, answer: WholeAnswer): void {
  const { headers, body } = encode(requestId, answer);
  response.writeHead(answer.status, headers);
  response.end(body);
}

/** The bytes of an answer, for faults that write it to the socket without Node's HTTP server. */
export function rawBytes(requestId: string, answer: WholeAnswer): Buffer {
  const { headers, body } = encode(requestId, answer);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${answer.status} Duplicate\r\n${lines.join('')}\r\n`;
  return Buffer.concat([Buffer.from(head), body]);
}

/** Headers and body as they are sent. */
export function encode(
  requestId: string,
  answer: WholeAnswer,
): { headers: Record<string, string>; body: Buffer } {
  const isBuffer = Buffer.isBuffer(answer.body);
  const body = isBuffer ? (answer.body as Buffer) : Buffer.from(JSON.stringify(answer.body));
  const headers = {
    'content-type': isBuffer ? 'application/octet-stream' : 'application/json',
    'content-length': String(body.length),
    [backend.HeaderName.RequestId]: requestId,
    ...answer.headers,
  };
  return { headers, body };
}
