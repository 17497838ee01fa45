import type * as net from 'node:net';

/** A connection that sends raw bytes. */
export class RawCaller {
  received = '';

  isClosed = false;

  constructor(readonly socket: net.Socket) {
    socket.on('data', (part) => {
      this.received += part;
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      this.isClosed = true;
    });
  }

  /** Number of answers with a status. */
  answers(status: number): number {
    return this.received.split(`HTTP/1.1 ${status} `).length - 1;
  }
}
