import * as net from 'node:net';
import * as linkConnection from './link-connection';

/** What happens to the connections between one process and one engine. */
export enum LinkState {
  Open,
  /** No byte passes; all are delivered later. */
  Silent,
  /** New connections are reset, open ones live on. */
  Refusing,
}

/** The way to one engine: passes the bytes of each connection on, and can fail for chosen processes. */
export class EngineLink {
  /** Whether the engine does not listen: new connections of all processes are reset. */
  isDown = false;

  private readonly states = new Map<string, LinkState>();

  private readonly connections = new Set<linkConnection.LinkConnection>();

  private readonly server = net.createServer({ allowHalfOpen: true }, (socket) =>
    this.accept(socket),
  );

  /**
   * @param enginePort port of the engine itself
   * @param ownerOf the name of the process at the other end of an accepted connection
   */
  constructor(
    private readonly enginePort: number,
    private readonly ownerOf: (socket: net.Socket) => string | undefined,
  ) {}

  /** Port under which processes find the engine. */
  get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, LOOPBACK, resolve);
    });
  }

  /** Changes what happens to the connections of a process. */
  set(owner: string, state: LinkState): void {
    this.states.set(owner, state);
    this.connectionsOf(owner).forEach((connection) => connection.hold(state === LinkState.Silent));
  }

  /** Resets the open connections of a process, or of all. */
  reset(owner?: string): void {
    this.connectionsOf(owner).forEach((connection) => connection.reset());
  }

  async close(): Promise<void> {
    this.reset();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private connectionsOf(owner?: string): linkConnection.LinkConnection[] {
    return [...this.connections].filter((each) => owner === undefined || each.owner === owner);
  }

  private accept(socket: net.Socket): void {
    const owner = this.ownerOf(socket);
    const state = this.states.get(owner ?? '') ?? LinkState.Open;
    if (this.isDown || state === LinkState.Refusing) {
      socket.on('error', () => {});
      socket.resetAndDestroy();
      return;
    }
    const connection = new linkConnection.LinkConnection(owner, socket, this.enginePort);
    connection.hold(state === LinkState.Silent);
    this.connections.add(connection);
    socket.on('close', () => this.connections.delete(connection));
  }
}

const LOOPBACK = '127.0.0.1';
