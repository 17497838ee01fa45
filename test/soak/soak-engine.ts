import * as http from 'node:http';
import type * as net from 'node:net';
import * as cachedParts from './cached-parts';

/** A request as an engine received it, whether it runs or not. */
export interface EngineRequest {
  readonly id: string;
  readonly team: string;
  readonly path: string;
  /** Absent if the request has none. */
  readonly salt: string | undefined;
  readonly engine: string;
  readonly weightsVersion: number;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** A request that has begun to run. */
export interface EngineRun extends EngineRequest {
  readonly used: readonly cachedParts.CachedPart[];
}

/** Sees all that reaches engines. */
export interface EngineObserver {
  arrived(request: EngineRequest): void;
  began(run: EngineRun): void;
  /** The cached parts of the engine at an address (`host:port`), from which another engine copies. */
  partsAt(address: string): cachedParts.CachedParts | undefined;
}

/** What the report says of the engine. */
export enum ReportState {
  Complete,
  NamesNoModel,
  Unavailable,
}

/** An engine of the model `desk-model` that keeps who made each cached part by salt, without a time for reading prompts. */
export class SoakEngine {
  reportState = ReportState.Complete;

  weightsVersion: number;

  /** Whether requests are refused, as while the engine loads weights. */
  isRefusing = false;

  isLeaving = false;

  born = Date.now();

  readonly parts = new cachedParts.CachedParts();

  private orders = 0;

  private orderedVersion: number | undefined;

  private running = 0;

  private readonly server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) =>
    this.receive(request, response),
  );

  constructor(
    readonly id: string,
    weightsVersion: number,
    private readonly observer: EngineObserver,
  ) {
    this.weightsVersion = weightsVersion;
  }

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Becomes another process with the same id and weights, and nothing cached; its connections are reset elsewhere. */
  restart(): void {
    this.born = Date.now();
    this.orders = 0;
    this.orderedVersion = undefined;
    this.parts.clear();
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
    response.on('error', () => {});
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      // The caller has left within its request.
      return;
    }
    const { url = '', headers } = request;
    if (headers['x-figline-expect-instance'] !== this.id) {
      refuse(response, MISDIRECTED, headers);
    } else if (url === '/-/report') {
      this.report(response);
    } else if (url === '/-/order') {
      this.order(JSON.parse(Buffer.concat(chunks).toString()), response);
    } else if (url.startsWith('/-/')) {
      response.writeHead(NOT_FOUND).end();
    } else {
      this.start(url, headers, response);
    }
  }

  private report(response: http.ServerResponse): void {
    const models =
      this.reportState === ReportState.NamesNoModel
        ? []
        : [{ name: MODEL, version: this.weightsVersion, adapters: [] }];
    response.writeHead(this.reportState === ReportState.Unavailable ? UNAVAILABLE : OK);
    response.end(
      JSON.stringify({
        models,
        busy: this.orderedVersion !== undefined,
        seq: this.orders,
        state: this.isLeaving ? 'draining' : 'ready',
        born: this.born,
      }),
    );
  }

  /** Waits until all runs have ended, and drops what is cached. */
  private order(order: WeightsOrder, response: http.ServerResponse): void {
    const isExpected = order.expect === undefined || order.expect === this.orders;
    if (this.orderedVersion !== undefined || !isExpected) {
      response.writeHead(CONFLICT).end();
      return;
    }
    if (order.version === this.weightsVersion) {
      response.writeHead(OK).end();
      return;
    }
    this.orders += 1;
    this.orderedVersion = order.version;
    response.writeHead(ACCEPTED).end();
    this.load();
  }

  private load(): void {
    if (this.running === 0 && this.orderedVersion !== undefined) {
      this.weightsVersion = this.orderedVersion;
      this.orderedVersion = undefined;
      this.parts.clear();
    }
  }

  private start(
    path: string,
    headers: http.IncomingHttpHeaders,
    response: http.ServerResponse,
  ): void {
    const { weightsVersion } = this;
    const request: EngineRequest = {
      id: text(headers, 'x-figline-request-id'),
      team: text(headers, 'x-figline-tenant'),
      salt: headers['x-figline-cache-salt']?.toString(),
      path,
      engine: this.id,
      weightsVersion,
      at: performance.now(),
    };
    this.observer.arrived(request);
    const expected = text(headers, 'x-figline-expect-version');
    const isBusy = this.running >= SLOTS || this.orderedVersion !== undefined;
    if (expected !== '' && expected !== String(weightsVersion)) {
      refuse(response, MISDIRECTED, headers);
    } else if (isBusy || this.isRefusing) {
      refuse(response, UNAVAILABLE, headers);
    } else {
      const source = this.observer.partsAt(text(headers, 'x-figline-kv-fetch'));
      const prompt = text(headers, 'x-figline-prompt-prefix').split(',');
      const { id, team, engine, at } = request;
      const made = { id, team, engine, weightsVersion, madeAt: at };
      const used = this.parts.use(request.salt ?? '', prompt, made, source);
      this.observer.began({ ...request, used });
      this.run(request, Number(text(headers, 'last-event-id')), response);
    }
  }

  /** Answers with one event after the other; what does not end in `EVENTS` events is broken off. */
  private run({ id, path }: EngineRequest, delivered: number, response: http.ServerResponse): void {
    this.running += 1;
    response.writeHead(OK, {
      'x-figline-request-id': id,
      'x-figline-response-seal': `seal.${this.id}.${id}`,
      'x-figline-weight-versions': String(this.weightsVersion),
      'content-type': 'text/event-stream',
    });
    response.flushHeaders();
    let event = delivered;
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: ${path} ${event}\n\n`);
      if (event >= EVENTS) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_MILLISECONDS);
    response.on('close', () => {
      clearInterval(timer);
      this.running -= 1;
      this.load();
    });
  }
}

interface WeightsOrder {
  readonly version: number;
  readonly expect?: number;
}

function text(headers: http.IncomingHttpHeaders, name: string): string {
  return headers[name]?.toString() ?? '';
}

function refuse(
  response: http.ServerResponse,
  status: number,
  headers: http.IncomingHttpHeaders,
): void {
  const id = text(headers, 'x-figline-request-id');
  response.writeHead(status, { 'x-figline-request-id': id, 'x-figline-not-executed': '1' });
  response.end();
}

export const MODEL = 'desk-model';

/** Requests that an engine runs at once. */
export const SLOTS = 4;

/** Events of a complete answer. */
export const EVENTS = 6;

const EVENT_MILLISECONDS = 40;

const OK = 200;
const ACCEPTED = 202;
const NOT_FOUND = 404;
const CONFLICT = 409;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
