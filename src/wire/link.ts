import type * as net from 'node:net';
import * as clock from '../clock';
import * as frame from './frame';
import * as handshake from './handshake';

/** Why a link ended. */
export enum LinkCloseReason {
  Oversized = 'oversized-frame',
  Malformed = 'malformed-frame',
  UnexpectedFrame = 'unexpected-frame',
  WrongVersion = 'wrong-protocol-version',
  WrongKey = 'wrong-pre-shared-key',
  OwnConnection = 'connected-to-itself',
  HandshakeTimeout = 'handshake-timeout',
  Silent = 'missed-heartbeats',
  Backlog = 'send-backlog-too-long',
  ConnectionError = 'connection-error',
  EndedByPeer = 'ended-by-peer',
  ClosedLocally = 'closed-locally',
}

/** Settings of a link. */
export interface LinkOptions {
  readonly identity: handshake.PeerIdentity;
  readonly preSharedKey: string;
  readonly clock: clock.Clock;
  /** Content of the next heartbeat to this peer. */
  readonly heartbeat: (peer: handshake.PeerIdentity) => object;
  /** Milliseconds between two heartbeats to this peer and from it; by default `HEARTBEAT_INTERVAL_MILLISECONDS`. */
  readonly heartbeatInterval?: (peer: handshake.PeerIdentity) => number;
}

/** Bytes sent and received on a connection. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Callbacks for the events of a link. */
export interface LinkHandlers {
  readonly onReady: (link: Link) => void;
  readonly onMessage: (link: Link, message: frame.WireMessage) => void;
  readonly onClosed: (link: Link, reason: LinkCloseReason, detail: string) => void;
}

export const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;

export const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;

const MISSED_HEARTBEATS = 3;

// Without this limit the send buffer for a peer that reads nothing would grow without bound.
const MAXIMUM_BACKLOG_BYTES = 2 * frame.MAXIMUM_FRAME_BYTES;

/**
 * One authenticated connection between two daemons. The link manages its socket: it authenticates both sides
 * with the pre-shared key, sends heartbeats, and closes when the peer is silent or sends a malformed frame.
 */
export class Link {
  /** Monotonic time in milliseconds of the last received frame. */
  lastReceivedAt: number;

  private heartbeatSentAt = Number.NEGATIVE_INFINITY;

  /** `sentTick` of the last heartbeat from the peer. */
  private heardTick: number | undefined;

  private sentAfter: number;

  private readonly reader = new frame.FrameReader();

  private readonly hello: handshake.Hello;

  private peerHello: handshake.Hello | undefined;

  private ready = false;

  private closed = false;

  private timer: clock.Timer;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: LinkOptions,
    private readonly handlers: LinkHandlers,
  ) {
    this.lastReceivedAt = options.clock.monotonic();
    this.sentAfter = this.lastReceivedAt;
    this.hello = handshake.createHello(options.identity);
    this.timer = options.clock.setTimer(HANDSHAKE_TIMEOUT_MILLISECONDS, () =>
      this.close(LinkCloseReason.HandshakeTimeout),
    );
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (error) => this.close(LinkCloseReason.ConnectionError, error.message));
    socket.on('close', () => this.close(LinkCloseReason.EndedByPeer));
    if (socket.connecting) {
      socket.once('connect', () => this.send(this.hello));
    } else {
      this.send(this.hello);
    }
  }

  /** The authenticated peer; `undefined` until `onReady`. */
  get peer(): handshake.PeerIdentity | undefined {
    return this.ready ? this.peerHello : undefined;
  }

  /**
   * Monotonic time in milliseconds at this daemon after which the peer sent its last heartbeat. The time of arrival does not
   * tell this: messages may wait in buffers while a process stands still or a network is cut.
   */
  get peerSentAfter(): number {
    return this.sentAfter;
  }

  get remote(): string {
    return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
  }

  /** Bytes on the connection so far, including frame lengths and the handshake. */
  get traffic(): LinkTraffic {
    return { sentBytes: this.socket.bytesWritten, receivedBytes: this.socket.bytesRead };
  }

  /** Queues a message; returns false when the link is closed or the message exceeds the size of a frame. */
  send(message: frame.WireMessage): boolean {
    if (this.closed) {
      return false;
    }
    const encoded = frame.encodeFrame(message);
    return encoded.ok && this.sendFrame(encoded.val);
  }

  /** Queues an encoded message, so that a message for several links is encoded once. */
  sendFrame(encoded: Buffer): boolean {
    if (this.closed) {
      return false;
    }
    this.socket.write(encoded);
    if (this.socket.writableLength > MAXIMUM_BACKLOG_BYTES) {
      this.close(LinkCloseReason.Backlog);
    }
    return !this.closed;
  }

  /** Sends a heartbeat outside the regular interval. */
  sendHeartbeat(): void {
    if (this.ready) {
      const { clock: time, heartbeat } = this.options;
      const { heardTick } = this;
      this.send({
        ...heartbeat(this.peerHello!),
        sentTick: Math.floor(time.monotonic()),
        ...(heardTick === undefined ? {} : { heardTick }),
        kind: handshake.LinkMessageKind.Heartbeat,
      } as frame.WireMessage);
    }
  }

  close(reason: LinkCloseReason, detail = ''): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.timer.cancel();
    if (reason === LinkCloseReason.ClosedLocally) {
      // Sends the queued messages of a planned stop first, for example the transfer of leadership.
      this.socket.destroySoon();
    } else {
      this.socket.destroy();
    }
    this.handlers.onClosed(this, reason, detail);
  }

  private receive(chunk: Buffer): void {
    this.reader.push(chunk);
    while (!this.closed) {
      const next = this.reader.next();
      if (next.err) {
        this.close(CLOSE_REASON_BY_FAULT[next.val]);
        return;
      }
      if (next.val === undefined) {
        return;
      }
      this.lastReceivedAt = this.options.clock.monotonic();
      this.dispatch(next.val);
    }
  }

  private dispatch(message: frame.WireMessage): void {
    if (this.ready) {
      this.recordTicks(message);
      this.handlers.onMessage(this, message);
    } else if (this.peerHello === undefined) {
      this.receiveHello(message);
    } else {
      this.receiveProof(message, this.peerHello);
    }
  }

  /** The peer sent a heartbeat after it had received the one whose tick it returns. */
  private recordTicks(message: frame.WireMessage): void {
    const ticks = handshake.heartbeatTicksSchema.safeParse(message);
    if (ticks.success) {
      const { sentTick, heardTick = this.sentAfter } = ticks.data;
      this.heardTick = sentTick;
      this.sentAfter = Math.max(this.sentAfter, Math.min(heardTick, this.lastReceivedAt));
    }
  }

  private receiveHello(message: frame.WireMessage): void {
    const parsed = handshake.helloSchema.safeParse(message);
    if (!parsed.success) {
      this.close(LinkCloseReason.UnexpectedFrame);
      return;
    }
    if (parsed.data.version !== handshake.PROTOCOL_VERSION) {
      this.close(LinkCloseReason.WrongVersion, `peer has version ${parsed.data.version}`);
      return;
    }
    // Also rejects an echoed Hello, with which an attacker would obtain a proof.
    if (parsed.data.daemonId === this.hello.daemonId) {
      this.close(LinkCloseReason.OwnConnection);
      return;
    }
    this.peerHello = parsed.data;
    const proof = handshake.createProof(this.options.preSharedKey, this.hello, parsed.data);
    this.send({ kind: handshake.LinkMessageKind.Proof, proof } as frame.WireMessage);
  }

  private receiveProof(message: frame.WireMessage, peerHello: handshake.Hello): void {
    const parsed = handshake.proofSchema.safeParse(message);
    if (!parsed.success) {
      this.close(LinkCloseReason.UnexpectedFrame);
      return;
    }
    const { preSharedKey } = this.options;
    if (!handshake.verifyProof(preSharedKey, peerHello, this.hello, parsed.data.proof)) {
      this.close(LinkCloseReason.WrongKey);
      return;
    }
    this.ready = true;
    this.reader.admitLargeFrames();
    this.timer.cancel();
    this.heartbeatLoop();
    this.handlers.onReady(this);
  }

  private heartbeatLoop(): void {
    const now = this.options.clock.monotonic();
    const interval =
      this.options.heartbeatInterval?.(this.peerHello!) ?? HEARTBEAT_INTERVAL_MILLISECONDS;
    const silence = now - this.lastReceivedAt;
    if (silence > MISSED_HEARTBEATS * interval) {
      this.close(LinkCloseReason.Silent, `nothing received for ${Math.round(silence)} ms`);
      return;
    }
    if (now - this.heartbeatSentAt > interval - HEARTBEAT_INTERVAL_MILLISECONDS / 2) {
      this.heartbeatSentAt = now;
      this.sendHeartbeat();
    }
    if (!this.closed) {
      // All links of a process send in the same moment, so that an idle process wakes up once for all of them.
      const delay = HEARTBEAT_INTERVAL_MILLISECONDS - (now % HEARTBEAT_INTERVAL_MILLISECONDS);
      this.timer = this.options.clock.setTimer(delay, () => this.heartbeatLoop());
    }
  }
}

const CLOSE_REASON_BY_FAULT: Record<frame.FrameFault, LinkCloseReason> = {
  [frame.FrameFault.Oversized]: LinkCloseReason.Oversized,
  [frame.FrameFault.Malformed]: LinkCloseReason.Malformed,
};
