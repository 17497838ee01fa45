import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as slicedReader from './sliced-reader';

/** A request with its response. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** The requests of one connection of a caller. */
export class CallerConnection {
  private running: Exchange | undefined;

  private readonly waiting: Exchange[] = [];

  private begunCount = 0;

  private begunAt = 0;

  private readBefore = 0;

  private counted = 0;

  private lateRejection: (() => void) | undefined;

  reader: slicedReader.SlicedReader | undefined;

  /** Whether the connection is closed behind its current answer. */
  isEnding = false;

  constructor(readonly socket: net.Socket) {}

  /** The request that is being read or answered. */
  get current(): Exchange | undefined {
    return this.running;
  }

  /** Whether the answer of the current request may have begun, so that the connection may not be closed. */
  get isAnswering(): boolean {
    const { request, response } = this.running ?? {};
    return request?.complete === true || response?.headersSent === true;
  }

  /** Requests of the connection that have begun. */
  get requestCount(): number {
    return this.begunCount;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Memory of what has been read and waits. */
  get waitingBytes(): number {
    const pending = this.reader?.pendingBytes ?? 0;
    return this.waiting.reduce((sum, exchange) => sum + exchangeBytes(exchange), pending);
  }

  /** Bytes that the account counts for what waits on this connection. */
  get countedBytes(): number {
    return this.counted;
  }

  markCounted(bytes: number): void {
    this.counted = bytes;
  }

  /** Closes the connection behind its current answer. */
  end(): void {
    this.isEnding = true;
  }

  /** Records that a time limit has passed while nothing was read; `reject` answers the request that is late. */
  markLate(reject: () => void): void {
    this.lateRejection = reject;
  }

  /** Returns how to reject a late request, once. */
  takeLateRejection(): (() => void) | undefined {
    const rejection = this.lateRejection;
    this.lateRejection = undefined;
    return rejection;
  }

  /** Milliseconds since the current request began. */
  get age(): number {
    return performance.now() - this.begunAt;
  }

  /** Bytes that were read since the last answer. */
  get progress(): number {
    return this.socket.bytesRead - this.readBefore;
  }

  begin(exchange: Exchange): void {
    this.running = exchange;
    this.begunCount += 1;
    this.begunAt = performance.now();
  }

  add(exchange: Exchange): void {
    this.waiting.push(exchange);
  }

  /** Ends the current request, and returns the one behind it. */
  takeNext(): Exchange | undefined {
    this.running = undefined;
    this.readBefore = this.socket.bytesRead - (this.reader?.pendingBytes ?? 0);
    return this.waiting.shift();
  }

  dropWaiting(): void {
    this.waiting.splice(0);
  }
}

/** Memory of a request that waits: its headers, what is parsed of its body, and the objects of Node.js. */
function exchangeBytes({ request }: Exchange): number {
  const chunks = Math.min(request.readableLength, MAXIMUM_PARSED_CHUNKS);
  const parsed = EXCHANGE_BYTES + chunks * CHUNK_BYTES;
  return request.rawHeaders.reduce((sum, text) => sum + text.length, parsed);
}

const EXCHANGE_BYTES = 4_096;

/** Each byte of a body may be a chunk of its own. */
const CHUNK_BYTES = 256;

/** Chunks of one byte in a slice. */
const MAXIMUM_PARSED_CHUNKS = 180;
