import * as http from 'node:http';
import type * as net from 'node:net';

/** One request as a server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

export type ServerBehaviour = (request: ReceivedRequest, response: http.ServerResponse) => void;

/** A backend server of the platform with scripted answers; the last behaviour is repeated. */
export class FakeBackendServer {
  readonly requests: ReceivedRequest[] = [];

  connections = 0;

  isDown = false;

  /** Whether every answer, to management calls too, says that the server leaves. */
  isLeaving = false;

  /** Weights version that the server reports; absent while it has loaded no model. */
  reportedVersion: number | undefined = 3;

  /** Whether the server grants reservations. */
  hasRoom = true;

  reservations = 0;

  /** Ids of the reservations that were given back. */
  readonly released: string[] = [];

  private boundPort = 0;

  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(
    readonly id: string,
    private readonly behaviours: ServerBehaviour[],
    readonly softwareVersion?: string,
    readonly service?: string,
  ) {
    this.server.on('connection', () => {
      this.connections += 1;
    });
  }

  /** The port of the last `listen`, also after the server has stopped listening. */
  get port(): number {
    return this.boundPort;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.boundPort = (this.server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Refuses new connections while requests on open ones go on. */
  stopListening(): void {
    this.server.close();
  }

  /** Answers a probe, or closes the connection if the simulated process has ended. */
  private report(response: http.ServerResponse): void {
    if (this.isDown) {
      response.destroy();
      return;
    }
    const version = this.reportedVersion;
    const models = version === undefined ? [] : [{ name: 'desk-model', version }];
    response.end(JSON.stringify({ models, busy: false, seq: 0, born: 1 }));
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const { method = '', url = '', headers } = request;
    if (this.isLeaving) {
      response.setHeader('server-leaving', '1');
    }
    if (url === '/-/report') {
      this.report(response);
      return;
    }
    if (url === '/-/hold-take') {
      this.reservations += 1;
      response.writeHead(this.hasRoom ? 200 : 503);
      response.end(JSON.stringify({ hold: `hold-${this.reservations}` }));
      return;
    }
    if (url.startsWith('/-/hold-drop/')) {
      this.released.push(url.slice('/-/hold-drop/'.length));
      response.end();
      return;
    }
    const received = { method, path: url, headers, body: Buffer.concat(chunks).toString() };
    this.requests.push(received);
    response.on('error', () => {});
    const behaviour = this.behaviours.length > 1 ? this.behaviours.shift()! : this.behaviours[0];
    behaviour(received, response);
  }
}

/** A complete answer. */
export function answer(text: string, headers: http.OutgoingHttpHeaders = {}): ServerBehaviour {
  return (request, response) => {
    response.writeHead(200, { ...sealed(request), ...headers });
    response.end(text);
  };
}

/** A refusal which states that the request did not run. */
export const refuse: ServerBehaviour = (request, response) => {
  response.writeHead(503, { ...echoed(request), 'x-figline-not-executed': '1' });
  response.end();
};

/** A stream of events that starts after the last one that the caller has received. */
export function stream(last: number, cutAfter?: string): ServerBehaviour {
  return (request, response) => {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, { ...sealed(request), 'content-type': 'text/event-stream' });
    for (let id = first; id <= last; id += 1) {
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    }
    if (cutAfter === undefined) {
      response.end();
    } else {
      response.write(cutAfter, () => response.destroy());
    }
  };
}

/** Closes the connection without an answer. */
export const hangUp: ServerBehaviour = (_request, response) => {
  response.destroy();
};

export function sealed(request: ReceivedRequest): http.OutgoingHttpHeaders {
  return { ...echoed(request), 'x-figline-response-seal': 'seal' };
}

function echoed(request: ReceivedRequest): http.OutgoingHttpHeaders {
  return { 'x-figline-request-id': request.headers['x-figline-request-id'] ?? 'none' };
}
