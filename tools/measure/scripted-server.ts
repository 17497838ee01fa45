import * as http from 'node:http';
import type * as net from 'node:net';
import * as headerName from '../../platform/header-name';
import * as plan from './plan';

/** A simulated backend server of the platform whose answers have a fixed size and speed. */
export class ScriptedServer {
  private runningRequests = 0;

  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(
    readonly id: string,
    readonly service: string,
    readonly zone: string,
  ) {
    this.server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  }

  get isEngine(): boolean {
    return this.service === plan.ENGINE_SERVICE;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.on('error', () => {});
    request.once('end', () => {
      if (request.url === '/-/report') {
        const models = [{ name: plan.MODEL, version: 1 }];
        response.end(JSON.stringify({ models, busy: false, seq: 0, born: 1 }));
      } else if (request.url === '/health') {
        response.setHeader(headerName.HeaderName.InstanceId, this.id);
        response.end();
      } else {
        this.answer(request, response);
      }
    });
  }

  private answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.runningRequests += 1;
    response.once('close', () => {
      this.runningRequests -= 1;
    });
    const { RequestId, ResponseSeal, ServerLoad, TokenCounts } = headerName.HeaderName;
    response.setHeader(RequestId, request.headers[RequestId] ?? '');
    response.setHeader(ResponseSeal, '3e1b.07.5a2.600.0.c9f2a4d1');
    response.setHeader(ServerLoad, `${this.runningRequests},0,32`);
    if (!this.isEngine) {
      setTimeout(() => response.end(Buffer.alloc(PLAIN_BYTES, 'x')), PLAIN_MILLISECONDS);
      return;
    }
    response.setHeader('content-type', 'text/event-stream');
    const [, tokens] = String(request.headers[TokenCounts]).split(',').map(Number);
    setTimeout(() => sendEvent(response, 1, tokens), FIRST_TOKEN_MILLISECONDS);
  }
}

function sendEvent(response: http.ServerResponse, id: number, last: number): void {
  response.write(`id: ${id}\ndata: ${TOKEN_TEXT}\n\n`);
  if (id === last) {
    response.end();
  } else {
    setTimeout(() => sendEvent(response, id + 1, last), TOKEN_MILLISECONDS);
  }
}

const TOKEN_TEXT = 'abcdefgh';
const PLAIN_BYTES = 800;
const PLAIN_MILLISECONDS = 40;
const FIRST_TOKEN_MILLISECONDS = 150;
const TOKEN_MILLISECONDS = 10;
const KEEP_ALIVE_MILLISECONDS = 15_000;
