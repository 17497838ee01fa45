import * as net from 'node:net';

/** One connection of a process, and the one to the engine that continues it. */
export class LinkConnection {
  private readonly engine: net.Socket;

  constructor(
    readonly owner: string | undefined,
    private readonly client: net.Socket,
    enginePort: number,
  ) {
    this.engine = net.connect({ host: LOOPBACK, port: enginePort, allowHalfOpen: true });
    passOn(this.client, this.engine);
    passOn(this.engine, this.client);
  }

  hold(isHeld: boolean): void {
    [this.client, this.engine].forEach((socket) => (isHeld ? socket.pause() : socket.resume()));
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.engine.resetAndDestroy();
  }
}

function passOn(from: net.Socket, to: net.Socket): void {
  from.on('data', (chunk) => to.write(chunk));
  from.on('end', () => to.end());
  // The close event follows, which ends the other connection too.
  from.on('error', () => {});
  from.on('close', () => to.destroySoon());
}

const LOOPBACK = '127.0.0.1';
