import * as net from 'node:net';

/** Direction in which a proxy drops bytes without closing the connection, like a broken middlebox. */
export enum DropDirection {
  Requests = 'requests',
  Answers = 'answers',
  Both = 'both',
}

/** TCP proxy that can stop forwarding on all open connections; new connections are not affected. */
export class SilentProxy {
  private readonly server: net.Server;

  private readonly pairs = new Map<net.Socket, { upstream: net.Socket; drop?: DropDirection }>();

  constructor(private readonly upstreamPort: number) {
    this.server = net.createServer((socket) => this.accept(socket));
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Drops all further data on every connection that is open now. */
  silence(drop: DropDirection): void {
    [...this.pairs.values()].forEach((pair) => Object.assign(pair, { drop }));
  }

  close(): void {
    this.server.close();
    this.pairs.forEach((pair, socket) => {
      socket.destroy();
      pair.upstream.destroy();
    });
  }

  private accept(socket: net.Socket): void {
    const upstream = net.connect(this.upstreamPort, '127.0.0.1');
    const pair: { upstream: net.Socket; drop?: DropDirection } = { upstream };
    this.pairs.set(socket, pair);
    const forward = (from: net.Socket, to: net.Socket, direction: DropDirection) => {
      const passes = () => pair.drop !== direction && pair.drop !== DropDirection.Both;
      from.on('data', (chunk) => passes() && to.write(chunk));
      from.on('error', () => {});
      from.on('close', () => passes() && to.destroy());
    };
    forward(socket, upstream, DropDirection.Requests);
    forward(upstream, socket, DropDirection.Answers);
  }
}
