import * as net from 'node:net';

/** A TCP proxy whose open connections can stop carrying data while new ones work. */
export class SilentProxy {
  target = 0;

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private constructor() {
    this.server = net.createServer((inbound) => this.connect(inbound));
  }

  static async start(): Promise<SilentProxy> {
    const proxy = new SilentProxy();
    await new Promise<void>((resolve) => {
      proxy.server.listen(0, '127.0.0.1', resolve);
    });
    return proxy;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Drops all data on the connections that are open now, in both directions, without closing them. */
  silence(): void {
    this.sockets.forEach((socket) => {
      socket.unpipe();
      socket.removeAllListeners('close');
      socket.on('data', () => {});
    });
  }

  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private connect(inbound: net.Socket): void {
    const outbound = net.connect(this.target, '127.0.0.1');
    [inbound, outbound].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
    });
    inbound.pipe(outbound);
    outbound.pipe(inbound);
    inbound.on('close', () => outbound.destroy());
    outbound.on('close', () => inbound.destroy());
  }
}
