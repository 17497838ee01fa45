import * as net from 'node:net';
import * as undici from 'undici';
import * as clock from '../clock';
import type * as backendAddress from './backend-address';
import type * as backendLimits from './backend-limits';
import * as framingBudget from './framing-budget';
import * as readFirstTimer from './read-first-timer';

/**
 * One TCP connection to a backend server for one request at a time. It connects only once: undici's client
 * would otherwise reconnect automatically and could send a request a second time.
 */
export class Connection {
  private readonly client: undici.Client;

  private socket: net.Socket | undefined;

  private connectStarted = false;

  private destroyed = false;

  private failed = false;

  private ended = false;

  private detectsReset = false;

  private expectedAnswer: ExpectedAnswer | undefined;

  /** Whether reading of the expected answer is paused. */
  private isPaused = false;

  private answers = 0;

  /** Ids of the requests that the server refused on this connection. */
  private readonly refusedIds = new Set<string>();

  /** Received bytes of the socket that were counted already. */
  private countedBytes = 0;

  /** Bytes of a body that were received since the last count. */
  private bodyBytes = 0;

  constructor(
    private readonly address: backendAddress.BackendAddress,
    private readonly limits: backendLimits.BackendLimits,
    private readonly time: clock.Clock,
    private readonly onClosed: (connection: Connection) => void,
  ) {
    this.client = new undici.Client(origin(address), {
      pipelining: 1,
      keepAliveTimeout: limits.idleConnectionMilliseconds,
      keepAliveMaxTimeout: limits.idleConnectionMilliseconds,
      maxHeaderSize: limits.maximumHeaderBytes,
      // Exchanges set their timeouts on the injected clock.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (_options, callback) => this.connect(callback),
    });
    this.client.on('disconnect', () => this.destroy());
  }

  /** Whether the next request may use this connection: it is open, without unread or unsent bytes. */
  get isReusable(): boolean {
    const { socket } = this;
    return (
      !this.destroyed &&
      this.refusedIds.size < MAXIMUM_REFUSED_IDS &&
      socket !== undefined &&
      !socket.destroyed &&
      !socket.readableEnded &&
      socket.readableLength === 0 &&
      socket.bytesRead === this.countedBytes &&
      socket.writableLength === 0
    );
  }

  /**
   * Announces that the answer ends when the server closes the connection. libuv reports a reset as a clean close
   * if it arrives together with data; only a write shows the difference, since it fails after a reset.
   */
  expectCloseDelimitedAnswer(): void {
    this.detectsReset = true;
  }

  /** Whether the server has closed the connection cleanly, and not by a reset. */
  get hasClosedCleanly(): boolean {
    return this.ended && !this.failed;
  }

  /** Bytes that the server has sent on this connection. */
  get receivedBytes(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /**
   * Expects one answer from now on. Calls `onExcess` when too many of its bytes are not part of a body, since the
   * HTTP parser does not limit all of these bytes.
   */
  expectAnswer(onExcess: () => void): void {
    const budget = new framingBudget.FramingBudget(this.limits.maximumFramingBytes);
    this.expectedAnswer = { budget, onExcess };
  }

  /** Tells that reading of the expected answer is paused, or goes on. */
  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
  }

  /** Counts bytes that were part of the body of the expected answer. */
  countBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Whether no answer has ended on this connection yet, so that all bytes belong to its first request. */
  get isOnFirstAnswer(): boolean {
    return this.answers === 0;
  }

  /** Remembers that the server refused a request, because a faulty server may write the refusal once more. */
  recordRefusal(requestId: string): void {
    this.refusedIds.add(requestId);
  }

  /** Whether a refusal of this request may come again on this connection. */
  hasRefused(requestId: string): boolean {
    return this.refusedIds.has(requestId);
  }

  /** Expects no more bytes: any byte received from now on closes the connection. */
  endAnswer(): void {
    this.expectedAnswer = undefined;
    this.isPaused = false;
    this.answers += 1;
    this.countedBytes = this.receivedBytes;
    this.bodyBytes = 0;
  }

  dispatch(
    options: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  /** Closes the connection at once; a request in progress fails. */
  destroy(): void {
    if (this.destroyed) {
      return;
    }
    this.destroyed = true;
    this.socket?.destroy(this.isPaused ? new Error('the paused answer is given up') : undefined);
    this.client.destroy().catch(() => {});
    this.onClosed(this);
  }

  private connect(callback: undici.buildConnector.Callback): void {
    if (this.connectStarted || this.destroyed) {
      callback(new Error('the connection is closed'), null);
      return;
    }
    this.connectStarted = true;
    const socket = net.connect({
      ...this.address,
      noDelay: true,
      keepAlive: true,
      allowHalfOpen: true,
    });
    this.socket = socket;
    // Runs before the listener of undici.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.failed = true;
      if (this.isPaused) {
        hideReset(error);
      }
    });
    socket.on('end', () => this.recordEnd(socket));
    const timer = readFirstTimer.setReadFirstTimer(this.time, this.limits.connectMilliseconds, () =>
      socket.destroy(new Error('connection attempt timed out')),
    );
    const onError = (error: Error) => {
      timer.cancel();
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('close', () => timer.cancel());
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', onError);
      callback(null, socket);
      // Runs after the listener of undici, which has read all available bytes by then.
      socket.on('readable', () => this.countReceived(socket));
    });
  }

  private countReceived(socket: net.Socket): void {
    const parsed = socket.bytesRead - socket.readableLength;
    const received = parsed - this.countedBytes;
    const body = this.bodyBytes;
    if (received <= 0) {
      return;
    }
    this.countedBytes = parsed;
    this.bodyBytes = 0;
    if (this.expectedAnswer === undefined) {
      this.destroy();
    } else if (!this.expectedAnswer.budget.count(received, body)) {
      this.expectedAnswer.onExcess();
    }
  }

  private recordEnd(socket: net.Socket): void {
    this.ended = true;
    if (this.detectsReset) {
      socket.write(BLANK_LINE, (error) => {
        this.failed ||= error !== null && error !== undefined;
      });
    }
  }
}

/** An answer that is expected on a connection. */
interface ExpectedAnswer {
  readonly budget: framingBudget.FramingBudget;
  readonly onExcess: () => void;
}

/** A connection with more refusals is closed, so that it does not remember any number of ids. */
const MAXIMUM_REFUSED_IDS = 100;

/**
 * When a connection is closed without an error, or is reset, undici ends an answer without a length as if it were complete, which
 * throws in a listener of the socket if the answer is paused. Any other error fails the request.
 */
function hideReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') {
    Object.assign(error, { code: 'ERR_PAUSED_ANSWER_RESET' });
  }
}

/** Servers ignore a blank line before a request (RFC 9112, section 2.2). */
const BLANK_LINE = '\r\n';

function origin(address: backendAddress.BackendAddress): string {
  const host = net.isIPv6(address.host) ? `[${address.host}]` : address.host;
  return `http://${host}:${address.port}`;
}
