import type * as http from 'node:http';
import type * as net from 'node:net';
import * as memory from '../memory';
import * as metrics from '../metrics';
import * as callerConnection from './caller-connection';

/** Dependencies and limits of the connections of one listener. */
export interface ConnectionOptions {
  readonly account: memory.MemoryAccount;
  readonly meter: metrics.Metrics;
  readonly maximumConnections: number;
  /** Called when the head of a request has arrived, also of one that waits behind others. */
  readonly onHead: (request: http.IncomingMessage) => void;
  /** Called when the answer of a request has left, or its connection is closed. */
  readonly onEnded: (request: http.IncomingMessage) => void;
}

/**
 * Hands over the requests of each connection one after the other. Those that a caller sends ahead wait as heads, and nothing more
 * is read from a connection where several wait. If waiting heads hold too much memory, the connection with most of them is
 * closed; if there are too many connections, the one that is idle longest.
 */
export class CallerConnections {
  /** In the order of their last answers; those without one come first. */
  private readonly connections = new Map<net.Socket, callerConnection.CallerConnection>();

  private isReadingPaused = false;

  constructor(
    private readonly options: ConnectionOptions,
    private readonly handler: http.RequestListener,
  ) {}

  /**
   * Registers an accepted connection.
   *
   * @example
   * server.on('connection', (socket) => connections.accept(socket));
   */
  accept(socket: net.Socket): void {
    if (this.connections.size >= this.options.maximumConnections && !this.closeIdle()) {
      this.refuse(socket);
      return;
    }
    const connection = new callerConnection.CallerConnection(socket);
    this.connections.set(socket, connection);
    socket.once('close', () => this.closed(connection));
    // Node.js resumes the connection when the rest of an earlier request is discarded.
    socket.on('resume', () => {
      if (connection.waitingCount >= MAXIMUM_WAITING || this.isReadingPaused) {
        socket.pause();
      }
    });
  }

  /** Runs a request now, or behind the earlier ones of its connection. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this.connections.get(request.socket);
    // The parser goes on to the end of what it has read from a connection that was closed meanwhile.
    if (connection !== undefined && !request.socket.destroyed) {
      this.options.onHead(request);
      if (connection.current === undefined) {
        this.begin(connection, { request, response });
      } else {
        this.enqueue(connection, { request, response });
      }
    }
  }

  /** Whether a request that has arrived completely is being answered, so that no other answer may be written. */
  isAnswering(socket: net.Socket): boolean {
    return this.connections.get(socket)?.current?.request.complete === true;
  }

  private begin(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
  ): void {
    connection.begin(exchange);
    exchange.response.once('close', () => this.ended(connection, exchange));
    this.handler(exchange.request, exchange.response);
  }

  private ended(
    connection: callerConnection.CallerConnection,
    { request }: callerConnection.Exchange,
  ): void {
    this.options.onEnded(request);
    const before = connection.waitingBytes;
    const next = connection.takeNext();
    if (next === undefined) {
      this.becomeIdle(connection);
      return;
    }
    this.release(before - connection.waitingBytes);
    // A response without a connection follows the last answer of a connection that is being closed.
    if (next.response.socket !== null && !connection.socket.destroyed) {
      this.begin(connection, next);
      if (connection.waitingCount === 0) {
        connection.socket.resume();
      }
    }
  }

  private becomeIdle(connection: callerConnection.CallerConnection): void {
    if (this.connections.delete(connection.socket)) {
      this.connections.set(connection.socket, connection);
    }
  }

  private enqueue(
    connection: callerConnection.CallerConnection,
    exchange: callerConnection.Exchange,
  ): void {
    const bytes = callerConnection.headBytes(exchange);
    this.options.account.noteReceived(bytes);
    while (!this.options.account.tryAdd(memory.MemoryKind.Heads, bytes)) {
      this.pauseReading();
      const largest = this.withMostWaiting();
      this.close(largest ?? connection);
      if (largest === undefined || largest === connection) {
        return;
      }
    }
    connection.add(exchange);
    if (connection.waitingCount === MAXIMUM_WAITING) {
      connection.socket.pause();
    }
  }

  /**
   * Reads from no connection until those that are being closed are freed. Node.js keeps all requests that it has parsed on a
   * connection until then, and may otherwise read from every connection of the crowd before.
   */
  private pauseReading(): void {
    if (this.isReadingPaused) {
      return;
    }
    this.isReadingPaused = true;
    const paused = [...this.connections.values()];
    paused.forEach(({ socket }) => socket.pause());
    setImmediate(() =>
      setImmediate(() => {
        this.isReadingPaused = false;
        paused
          .filter(({ socket, waitingCount }) => !socket.destroyed && waitingCount < MAXIMUM_WAITING)
          .forEach(({ socket }) => socket.resume());
      }),
    );
  }

  private withMostWaiting(): callerConnection.CallerConnection | undefined {
    return [...this.connections.values()]
      .filter(({ waitingBytes }) => waitingBytes > 0)
      .reduce<callerConnection.CallerConnection | undefined>(
        (most, connection) =>
          most === undefined || connection.waitingBytes > most.waitingBytes ? connection : most,
        undefined,
      );
  }

  /** Closes the connection without a request that was used least recently; false if there is none. */
  private closeIdle(): boolean {
    const idle = [...this.connections.values()].find(({ current }) => current === undefined);
    if (idle !== undefined) {
      this.close(idle);
    }
    return idle !== undefined;
  }

  private close(connection: callerConnection.CallerConnection): void {
    this.closed(connection);
    this.refuse(connection.socket);
  }

  private refuse(socket: net.Socket): void {
    this.options.meter.count(metrics.Counter.MemoryRefusals, { reason: 'connection' });
    socket.destroy();
  }

  private closed(connection: callerConnection.CallerConnection): void {
    this.connections.delete(connection.socket);
    this.release(connection.waitingBytes);
    connection.dropWaiting();
  }

  private release(bytes: number): void {
    this.options.account.add(memory.MemoryKind.Heads, -bytes);
  }
}

/** More are only read if they arrive together. */
const MAXIMUM_WAITING = 8;
