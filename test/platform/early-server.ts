import * as net from 'node:net';
import type * as rawServer from './raw-server';

/** How a server ends its connection while the body of the request is still being written. */
export enum EarlyEnding {
  /** The connection is reset. */
  Reset = 'reset',
  /** The process ends; the kernel resets the connection, since it holds bytes that were not read. */
  Close = 'closed with unread bytes',
}

/** An answer that is written once the head of a request has arrived. */
export interface EarlyAnswer {
  readonly bytes: string;
  readonly ending: EarlyEnding;
  /** Time from the answer to the end of the connection. */
  readonly endsAfterMilliseconds: number;
  /** Whether the server reads the body in this time. */
  readonly reads: boolean;
}

/** An early answer, or one that is written once the body has arrived. */
export type UploadAnswer = (request: rawServer.RawRequest) => EarlyAnswer | string;

/** A backend server that may answer a request before it has read the body. */
export class EarlyServer {
  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => this.serve(socket));

  constructor(
    readonly id: string,
    private readonly answer: UploadAnswer,
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
    let awaited = 0;
    let count = 0;
    let complete = '';
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      for (;;) {
        if (awaited > 0) {
          const taken = Math.min(awaited, text.length);
          text = text.slice(taken);
          awaited -= taken;
          if (awaited > 0) {
            return;
          }
          socket.write(complete);
        }
        const end = text.indexOf('\r\n\r\n');
        if (end < 0) {
          return;
        }
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        const given = head.includes('/-/report') ? REPORT : this.receive(head, count);
        count += 1;
        if (typeof given !== 'string') {
          answerEarly(socket, given);
          return;
        }
        const [, length = '0'] = /^content-length: (\d+)/im.exec(head) ?? [];
        awaited = Number(length);
        complete = given;
        if (awaited === 0) {
          socket.write(given);
        }
      }
    });
  }

  private receive(head: string, earlierOnConnection: number): EarlyAnswer | string {
    const [, id = ''] = /^x-figline-request-id: (\S+)/im.exec(head) ?? [];
    return this.answer({ id, head, earlierOnConnection });
  }
}

function answerEarly(socket: net.Socket, answer: EarlyAnswer): void {
  socket.removeAllListeners('data');
  if (answer.reads) {
    socket.resume();
  } else {
    socket.pause();
  }
  socket.write(answer.bytes, 'latin1', () =>
    setTimeout(() => {
      if (answer.ending === EarlyEnding.Reset) {
        socket.resetAndDestroy();
      } else {
        socket.destroy();
      }
    }, answer.endsAfterMilliseconds),
  );
}

const REPORT_BODY = JSON.stringify({
  models: [{ name: 'desk-model', version: 3 }],
  busy: false,
  seq: 0,
  born: 1,
});

const REPORT = `HTTP/1.1 200 OK\r\nContent-Length: ${REPORT_BODY.length}\r\n\r\n${REPORT_BODY}`;
