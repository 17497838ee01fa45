import type * as http from 'node:http';
import type * as net from 'node:net';

/** A request with its response. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** The requests of one connection of a caller. */
export class CallerConnection {
  private running: Exchange | undefined;

  private readonly waiting: Exchange[] = [];

  private bytes = 0;

  constructor(readonly socket: net.Socket) {}

  /** The request that is being read or answered. */
  get current(): Exchange | undefined {
    return this.running;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Memory of the requests that wait. */
  get waitingBytes(): number {
    return this.bytes;
  }

  begin(exchange: Exchange): void {
    this.running = exchange;
  }

  add(exchange: Exchange): void {
    this.waiting.push(exchange);
    this.bytes += headBytes(exchange);
  }

  /** Ends the current request, and returns the one behind it. */
  takeNext(): Exchange | undefined {
    this.running = undefined;
    const next = this.waiting.shift();
    this.bytes -= next === undefined ? 0 : headBytes(next);
    return next;
  }

  dropWaiting(): void {
    this.waiting.splice(0);
    this.bytes = 0;
  }
}

/** Memory of a request that waits: its headers, and the objects of Node.js. */
export function headBytes({ request }: Exchange): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length, EXCHANGE_BYTES);
}

const EXCHANGE_BYTES = 4_096;
