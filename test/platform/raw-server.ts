import * as net from 'node:net';

/** One request as it arrived on a connection. */
export interface RawRequest {
  readonly id: string;
  /** Request line and headers. */
  readonly head: string;
  /** Number of requests that arrived on the connection before this one. */
  readonly earlierOnConnection: number;
}

/** The bytes that answer a request; `end` closes the connection after them, `reset` at once breaks it. */
export interface RawBytes {
  readonly bytes: string;
  readonly then: 'end' | 'reset';
}

export type RawAnswer = (request: RawRequest) => string | RawBytes;

/** A backend server that writes whatever bytes a test wants, for requests without a body. */
export class RawServer {
  /** Ids of the requests that arrived, except probes. */
  readonly requests: RawRequest[] = [];

  /** Start of the simulated process, as its probes report it. */
  born = 1;

  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => this.serve(socket));

  constructor(
    readonly id: string,
    private readonly answer: RawAnswer,
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

  private serve(socket: net.Socket): void {
    let text = '';
    let count = 0;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString();
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        write(socket, head.includes('/-/report') ? this.report() : this.receive(head, count));
        count += 1;
      }
    });
  }

  private report(): string {
    const models = [{ name: 'desk-model', version: 3 }];
    const body = JSON.stringify({ models, busy: false, seq: 0, born: this.born });
    return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  }

  private receive(head: string, earlierOnConnection: number): string | RawBytes {
    const [, id = ''] = /^x-figline-request-id: (\S+)/im.exec(head) ?? [];
    const request = { id, head, earlierOnConnection };
    this.requests.push(request);
    return this.answer(request);
  }
}

function write(socket: net.Socket, answer: string | RawBytes): void {
  if (typeof answer === 'string') {
    socket.write(answer);
  } else if (answer.then === 'end') {
    socket.end(answer.bytes);
  } else {
    socket.write(answer.bytes, () => setTimeout(() => socket.resetAndDestroy(), 20));
  }
}

/** A refusal which states that the request did not run; without an id if none is given. */
export function refusal(id?: string): string {
  const echo = id === undefined ? '' : `X-Figline-Request-Id: ${id}\r\n`;
  return `HTTP/1.1 503 Busy\r\n${echo}X-Figline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

/** A complete, genuine answer. */
export function success(id: string): string {
  return `HTTP/1.1 200 OK\r\nX-Figline-Request-Id: ${id}\r\nX-Figline-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok`;
}

/** The head of a stream with chunks, or without a length. */
export function streamHead(id: string, isChunked: boolean): string {
  const framing = isChunked ? 'Transfer-Encoding: chunked' : 'Connection: close';
  const type = 'Content-Type: text/event-stream';
  return `HTTP/1.1 200 OK\r\nX-Figline-Request-Id: ${id}\r\nX-Figline-Response-Seal: s\r\n${type}\r\n${framing}\r\n\r\n`;
}

/** Events with the given ids; as one chunk if the stream has chunks. */
export function events(isChunked: boolean, ...ids: number[]): string {
  const text = ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
  return isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
}

/** A complete answer with an error that the server itself made. */
export function serverError(id: string): string {
  return `HTTP/1.1 500 Error\r\nX-Figline-Request-Id: ${id}\r\nX-Figline-Response-Seal: s\r\nContent-Length: 12\r\n\r\nserver error`;
}
