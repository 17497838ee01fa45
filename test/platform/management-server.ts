import * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as cutCases from './cut-cases';
import type * as rawServer from './raw-server';

/** A server that answers each management call with the same bytes, and then closes or resets the connection. */
export class ManagementServer {
  private answer: rawServer.RawBytes = { bytes: '', then: 'end' };

  /** Calls that have arrived. */
  calls = 0;

  private readonly sockets = new Set<net.Socket>();

  private readonly server = net.createServer((socket) => {
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      this.calls += 1;
      const { bytes, then } = this.answer;
      if (then === 'end') {
        socket.end(bytes);
      } else {
        socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 2));
      }
    });
  });

  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Sets the answer to the next calls. */
  answerWith(answer: rawServer.RawBytes): void {
    this.answer = answer;
  }

  async run(work: () => Promise<void>): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    try {
      await work();
    } finally {
      this.sockets.forEach((socket) => socket.destroy());
      this.server.close();
    }
  }

  /** Answers the calls of `read` with each part of the bytes, and checks that all of them fail. */
  async cutEverywhere(bytes: string, read: () => Promise<{ readonly ok: boolean }>): Promise<void> {
    for (const then of cutCases.ENDINGS) {
      for (const place of cutCases.range(0, bytes.length)) {
        this.answer = { bytes: bytes.slice(0, place), then };
        assert.not((await read()).ok, `${then} at byte ${place} of ${JSON.stringify(bytes)}`);
      }
    }
  }
}
