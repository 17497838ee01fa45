import * as net from 'node:net';
import type * as floods from './flood';

/** A server that sends an endless answer, up to `MAXIMUM_FLOOD_BYTES`. */
export class FloodServer {
  /** Number of requests that were answered with the flood. */
  requests = 0;

  /** Number of floods that the caller ended by closing the connection. */
  closedFloods = 0;

  /** Maximum number of bytes that the caller's side accepted on one connection, including kernel buffers. */
  mostBytes = 0;

  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => this.accept(socket));

  constructor(
    readonly id: string,
    private readonly flood: floods.Flood,
    /** Returns the answer to requests that the server answers correctly. */
    private readonly correctAnswer: (request: string) => string | undefined = () => undefined,
  ) {}

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Resets all connections. */
  reset(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  private accept(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (isComplete(received)) {
        const request = received;
        received = '';
        this.answer(socket, request);
      }
    });
  }

  private answer(socket: net.Socket, request: string): void {
    const correct = this.correctAnswer(request);
    if (correct !== undefined) {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${correct.length}\r\n\r\n${correct}`);
      return;
    }
    this.requests += 1;
    socket.once('close', () => {
      this.closedFloods += 1;
    });
    const id = /^x-(?:figline-)?request-id: (\S+)/im.exec(request)?.[1] ?? 'none';
    socket.write(this.flood.start.replaceAll('ID', id));
    this.send(socket, blockOf(this.flood));
  }

  private send(socket: net.Socket, block: Buffer): void {
    this.mostBytes = Math.max(this.mostBytes, socket.bytesWritten - socket.writableLength);
    if (socket.destroyed || socket.bytesWritten >= MAXIMUM_FLOOD_BYTES) {
      return;
    }
    const { pauseMilliseconds } = this.flood;
    if (pauseMilliseconds === undefined) {
      socket.write(block, () => setImmediate(() => this.send(socket, block)));
    } else {
      socket.write(block, () => setTimeout(() => this.send(socket, block), pauseMilliseconds));
    }
  }
}

/** Limit on the bytes of a flood on one connection if the caller does not close it. */
export const MAXIMUM_FLOOD_BYTES = 128 * 1_024 * 1_024;

const BLOCK_BYTES = 64 * 1_024;

function blockOf({ repeated, pauseMilliseconds }: floods.Flood): Buffer {
  const times = pauseMilliseconds === undefined ? Math.ceil(BLOCK_BYTES / repeated.length) : 1;
  return Buffer.from(repeated.repeat(times), 'latin1');
}

function isComplete(request: string): boolean {
  const end = request.indexOf('\r\n\r\n');
  const length = Number(/^content-length: (\d+)/im.exec(request)?.[1] ?? 0);
  return end >= 0 && request.length >= end + 4 + length;
}

/** The report of a correct server of the platform. */
export function reports(request: string): string | undefined {
  const report = { models: [{ name: 'desk-model', version: 3 }], busy: false, seq: 0, born: 1 };
  return request.startsWith('GET /-/report') ? JSON.stringify(report) : undefined;
}
