import type * as http from 'node:http';
import type * as net from 'node:net';
import * as memory from '../memory';
import * as metrics from '../metrics';
import * as callerConnection from './caller-connection';
import type * as connectionPlaces from './connection-places';
import * as slicedReader from './sliced-reader';

/** Dependencies and limits of the connections of one listener. */
export interface ConnectionOptions {
  readonly account: memory.MemoryAccount;
  readonly meter: metrics.Metrics;
  readonly places: connectionPlaces.ConnectionPlaces;
  /** Time in which a request has to arrive that has not been read for a while. */
  readonly requestMilliseconds: number;
  /** Called when the head of a request has arrived, also of one that waits behind others. */
  readonly onHead: (request: http.IncomingMessage) => void;
  /** Called when the answer of a request has left, or its connection is closed. */
  readonly onEnded: (request: http.IncomingMessage) => void;
  /** Called when a request is rejected before it has arrived; its handler must not run any more. */
  readonly onRejected: (request: http.IncomingMessage) => void;
}

/**
 * Hands over the requests of each connection one after the other. While one waits behind another, nothing more of the connection is
 * parsed. If what waits holds too much memory, the connection is closed behind its current answer; if there are too many
 * connections, the one that is least begun is closed.
 */
export class CallerConnections {
  /** In the order of their last answers; those without one stand in the order in which they were accepted. */
  private readonly connections = new Map<net.Socket, callerConnection.CallerConnection>();

  constructor(
    private readonly options: ConnectionOptions,
    private readonly handler: http.RequestListener,
  ) {
    options.places.register(() => this.closeLeastBegun());
  }

  /**
   * Registers an accepted connection.
   *
   * @example
   * server.on('connection', (socket) => connections.accept(socket));
   */
  accept(socket: net.Socket): void {
    if (!this.options.places.tryTake()) {
      this.refuse(socket);
      return;
    }
    const connection = new callerConnection.CallerConnection(socket);
    this.connections.set(socket, connection);
    this.options.account.add(memory.MemoryKind.Connections, CONNECTION_BYTES);
    socket.once('close', () => this.closed(connection));
    connection.reader = new slicedReader.SlicedReader(
      socket,
      () => connection.waitingCount > 0,
      () => this.countWaiting(connection),
    );
  }

  /** Runs a request now, or behind the earlier ones of its connection. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const connection = this.connections.get(request.socket);
    // The parser goes on to the end of its slice on a connection that was closed meanwhile.
    if (connection === undefined || connection.isEnding || request.socket.destroyed) {
      return;
    }
    this.options.onHead(request);
    if (connection.current === undefined) {
      this.begin(connection, { request, response });
    } else {
      connection.add({ request, response });
    }
  }

  /**
   * Handles bytes that are no request, and requests that do not arrive in time. An answer that may have begun is completed, and the
   * connection closed behind it; an answer of its own would be taken for that of the request before.
   *
   * @param reject writes an answer to a request that has not run, and never will
   */
  failed(socket: net.Socket, isTimeout: boolean, reject: () => void): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      socket.destroy();
    } else if (connection.isEnding) {
      // The connection is closed behind its answer, or shortly.
    } else if (isTimeout && isHeldBack(connection)) {
      connection.markLate(reject);
    } else if (connection.isAnswering || connection.waitingCount > 0) {
      connection.end();
    } else {
      this.reject(connection, reject);
    }
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
    if (connection.current?.request !== request) {
      return;
    }
    const next = connection.takeNext();
    this.countWaiting(connection);
    if (connection.isEnding && next?.request.complete !== true) {
      connection.socket.end();
      destroySoon(connection.socket);
    } else if (next === undefined) {
      this.becomeIdle(connection);
      this.readOn(connection);
    } else if (next.response.socket !== null && !connection.socket.destroyed) {
      // A response without a connection follows the last answer of a connection that is being closed.
      this.begin(connection, next);
      this.readOn(connection);
    }
  }

  private readOn(connection: callerConnection.CallerConnection): void {
    if (connection.waitingCount > 0) {
      return;
    }
    connection.reader?.resume();
    const reject = connection.takeLateRejection();
    if (reject !== undefined) {
      this.limitLate(connection, reject);
    }
  }

  /** Node.js reports a time limit only once; one that passed while nothing was read begins again. */
  private limitLate(connection: callerConnection.CallerConnection, reject: () => void): void {
    const { current, requestCount } = connection;
    const isBodyLate = current?.request.complete === false;
    const timer = setTimeout(() => {
      const isLate = isBodyLate
        ? !current!.request.complete
        : connection.requestCount + connection.waitingCount === requestCount;
      if (isLate && this.connections.has(connection.socket)) {
        this.failed(connection.socket, true, reject);
      }
    }, this.options.requestMilliseconds);
    connection.socket.once('close', () => clearTimeout(timer));
  }

  private becomeIdle(connection: callerConnection.CallerConnection): void {
    if (this.connections.delete(connection.socket)) {
      this.connections.set(connection.socket, connection);
    }
  }

  /** Counts what waits on a connection; if it does not fit, nothing behind the current answer is kept. */
  private countWaiting(connection: callerConnection.CallerConnection): void {
    const { account, meter } = this.options;
    if (!this.connections.has(connection.socket)) {
      return;
    }
    const grown = connection.waitingBytes - connection.countedBytes;
    if (grown <= 0 || account.tryAdd(memory.MemoryKind.Heads, grown)) {
      account.add(memory.MemoryKind.Heads, Math.min(grown, 0));
      connection.markCounted(connection.countedBytes + grown);
      return;
    }
    meter.count(metrics.Counter.MemoryRefusals, { reason: 'connection' });
    connection.end();
    connection.dropWaiting();
    connection.reader?.discard();
    this.uncount(connection);
    if (!connection.isAnswering) {
      this.close(connection);
    }
  }

  /** Ends the current request before it has arrived. */
  private reject(connection: callerConnection.CallerConnection, reject: () => void): void {
    connection.end();
    const { current } = connection;
    if (current !== undefined) {
      this.options.onRejected(current.request);
    }
    connection.reader?.discard();
    reject();
    destroySoon(connection.socket);
  }

  /**
   * Closes one connection: one that has never sent a request, or the one that is idle longest, or one whose request has been arriving for a
   * while and of which least has arrived. Returns false if there is none; a request that has arrived is never closed.
   */
  private closeLeastBegun(): boolean {
    const all = [...this.connections.values()];
    const idle = all.filter(({ current }) => current === undefined);
    const arriving = all
      .filter(({ current, isAnswering }) => current !== undefined && !isAnswering)
      .filter(({ age }) => age >= BEGUN_MILLISECONDS)
      .sort((first, second) => first.progress - second.progress);
    const least = idle.find(({ requestCount }) => requestCount === 0) ?? idle[0] ?? arriving[0];
    if (least !== undefined) {
      this.close(least);
    }
    return least !== undefined;
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
    if (this.connections.delete(connection.socket)) {
      this.options.places.release();
      this.options.account.add(memory.MemoryKind.Connections, -CONNECTION_BYTES);
      this.uncount(connection);
      connection.dropWaiting();
    }
  }

  private uncount(connection: callerConnection.CallerConnection): void {
    this.options.account.add(memory.MemoryKind.Heads, -connection.countedBytes);
    connection.markCounted(0);
  }
}

/** Leaves the caller time to read the answer: a connection that is destroyed with unread bytes drops what it has written. */
function destroySoon(socket: net.Socket): void {
  const timer = setTimeout(() => socket.destroy(), CLOSE_MILLISECONDS);
  socket.once('close', () => clearTimeout(timer));
}

/** Whether a request may be late only because nothing is read behind the current answer. */
function isHeldBack({
  waitingCount,
  isAnswering,
  socket,
}: callerConnection.CallerConnection): boolean {
  return waitingCount > 0 || (isAnswering && socket.isPaused());
}

/** Objects of a connection and of the request that runs on it, with the largest head. */
const { CONNECTION_BYTES } = memory;

const CLOSE_MILLISECONDS = 1_000;

/** A request that has just begun has had no time to arrive. */
const BEGUN_MILLISECONDS = 1_000;
