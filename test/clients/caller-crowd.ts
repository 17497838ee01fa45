import * as net from 'node:net';
import * as builder from '../platform/gateway-builder';

/** What each of many connections sends; all of them stay open until the crowd is closed. */
export interface Crowd {
  readonly connections: number;
  /** Parts that connection number `index` writes, one after the other. */
  readonly parts: (index: number) => Iterable<Buffer | string>;
  /** Whether the connections read what arrives; false if they read nothing. */
  readonly reads: boolean;
}

/** Connections of callers that nobody controls. */
export class CallerCrowd {
  private readonly sockets: net.Socket[] = [];

  constructor(private readonly crowd: Crowd) {}

  /** Resolves when all is written, or at the end of a fixed time: a gateway may stop reading, or close a connection. */
  async run({ hostname, port }: URL): Promise<void> {
    const end = performance.now() + WRITE_LIMIT_MILLISECONDS;
    const connections = Array.from({ length: this.crowd.connections }, (_, index) => index);
    const writes = connections.map((index) => this.write(hostname, Number(port), index, end));
    await Promise.race([Promise.all(writes), pause(WRITE_LIMIT_MILLISECONDS)]);
    await pause(SETTLE_MILLISECONDS);
  }

  close(): void {
    this.sockets.splice(0).forEach((socket) => socket.destroy());
  }

  private async write(host: string, port: number, index: number, end: number): Promise<void> {
    const socket = net.connect({ host, port });
    this.sockets.push(socket);
    socket.on('error', () => {});
    if (this.crowd.reads) {
      socket.resume();
    } else {
      socket.pause();
    }
    for (const part of this.crowd.parts(index)) {
      if (socket.destroyed || performance.now() > end) {
        return;
      }
      if (!socket.write(part)) {
        await drained(socket);
      } else {
        // Connections take turns, as those of separate callers do.
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
    }
  }
}

/** The usual headers of a request inside the limits. */
export function headersOf(requestId: string): Record<string, string> {
  return {
    host: 'desk.example',
    authorization: `Token ${builder.CREDENTIAL}`,
    'x-figline-request-id': requestId,
    'x-figline-deadline-ms': '10000',
  };
}

/** Head of a request with the usual headers and others. */
export function head(
  requestLine: string,
  requestId: string,
  others: Readonly<Record<string, string>> = {},
): string {
  const lines = Object.entries({ ...headersOf(requestId), ...others }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return `${requestLine} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
}

/** One chunk of a chunked body. */
export function chunk(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Resolves when more may be written, or nothing can be any more. */
function drained(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('drain', resolve);
    socket.once('close', () => resolve());
  });
}

export const LARGE_CHUNK_BYTES = 64 * 1_024;

export const LARGE_CHUNK = chunk(LARGE_CHUNK_BYTES);

/** The crowds need less; a gateway that does not read lets their writes wait. */
const WRITE_LIMIT_MILLISECONDS = 4_000;

/** Time in which the gateway reads what is on its way. */
const SETTLE_MILLISECONDS = 500;
