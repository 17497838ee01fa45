import * as http from 'node:http';
import type * as net from 'node:net';
import type * as loopbackEnvironment from '../../tools/local/loopback-environment';

/** An order to load weights as an engine received it. */
export interface ReceivedOrder {
  readonly holder: string;
  readonly fence: number;
  readonly version: number;
}

/**
 * An engine of the platform that loads ordered weights at once. Streams have `PIECES` events; after the first ones of a new
 * stream it waits until its caller has left.
 */
export class Engine implements loopbackEnvironment.ListedServer {
  readonly service = 'desk';

  readonly orders: ReceivedOrder[] = [];

  /** Ids of the requests that it ran. */
  readonly runs: string[] = [];

  /** Requests a second that it takes; told in each answer. */
  private requestLimit = 1_000;

  private weightsVersion = 1;

  private readonly server = http.createServer((request, response) =>
    this.receive(request, response),
  );

  constructor(
    readonly id: string,
    readonly softwareVersion: string,
  ) {}

  get addr(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  get models(): readonly { readonly name: string; readonly version: number }[] {
    return [{ name: MODEL, version: this.weightsVersion }];
  }

  /** Orders with a lower fencing number than an earlier one, or with that of another holder. */
  get wrongOrders(): readonly ReceivedOrder[] {
    return this.orders.filter((order, index) =>
      this.orders
        .slice(0, index)
        .some(
          (earlier) =>
            earlier.fence > order.fence ||
            (earlier.fence === order.fence && earlier.holder !== order.holder),
        ),
    );
  }

  changeRequestLimit(): void {
    this.requestLimit += 1;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    response.on('error', () => {});
    const body = Buffer.concat(chunks).toString();
    const { url = '' } = request;
    if (url === '/-/report') {
      const report = { models: this.models, busy: false, seq: this.orders.length, born: 1 };
      response.end(JSON.stringify(report));
    } else if (url === '/-/order') {
      this.takeOrder(JSON.parse(body), response);
    } else {
      this.run(request, response);
    }
  }

  private takeOrder(order: ReceivedOrder, response: http.ServerResponse): void {
    this.orders.push(order);
    this.weightsVersion = order.version;
    response.end('{}');
  }

  private run({ url = '', headers }: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = String(headers['x-figline-request-id']);
    this.runs.push(requestId);
    const isStream = url.startsWith('/reply/');
    response.writeHead(200, {
      'x-figline-request-id': requestId,
      'x-figline-response-seal': 'seal',
      'server-limit': String(this.requestLimit),
      ...(isStream ? { 'content-type': 'text/event-stream' } : {}),
    });
    if (!isStream) {
      response.end('served');
      return;
    }
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    const last = first === 1 ? PIECES / 2 : PIECES;
    for (let id = first; id <= last; id += 1) {
      response.write(`id: ${id}\ndata: ${this.softwareVersion}\n\n`);
    }
    if (last === PIECES) {
      response.end();
    }
  }
}

export const MODEL = 'desk-model';

/** Events of a stream; half of them are sent before the engine waits. */
export const PIECES = 6;
