import * as net from 'node:net';

/** Forwards TCP connections to one port and counts their bytes. */
export class ByteCountingRelay {
  private readonly server: net.Server;

  private bytes = 0;

  private connections = 0;

  constructor(private readonly targetPort: number) {
    this.server = net.createServer((socket) => this.forward(socket));
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Total bytes of both directions, and number of connections. */
  get counts(): { readonly bytes: number; readonly connections: number } {
    return { bytes: this.bytes, connections: this.connections };
  }

  close(): void {
    this.server.close();
  }

  private forward(clientSocket: net.Socket): void {
    this.connections += 1;
    const serverSocket = net.connect(this.targetPort, '127.0.0.1');
    [
      [clientSocket, serverSocket],
      [serverSocket, clientSocket],
    ].forEach(([from, to]) => {
      from.on('data', (chunk) => {
        this.bytes += chunk.length;
        to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
      from.on('end', () => to.end());
    });
  }
}
