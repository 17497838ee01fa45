import * as net from 'node:net';
import * as clock from '../clock';
import * as logging from '../logging';
import * as addresses from './address';
import * as backoff from './backoff';
import * as frame from './frame';
import * as handshake from './handshake';
import * as link from './link';

/** Settings of a peer network. */
export interface PeerNetworkOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly listenHost: string;
  /** 0 lets the operating system choose. */
  readonly listenPort: number;
  /** `host:port` that peers connect to; by default the listening address. */
  readonly advertisedAddress?: string;
  readonly preSharedKey: string;
  readonly clock: clock.Clock;
  readonly random: clock.RandomSource;
  /** See `link.LinkOptions`. */
  readonly heartbeat: (peer: handshake.PeerIdentity) => object;
  /** See `link.LinkOptions`. */
  readonly heartbeatInterval?: (peer: handshake.PeerIdentity) => number;
}

/** Callbacks for the events of a peer network. */
export interface PeerNetworkHandlers {
  /** `sentAfter` is a monotonic time in milliseconds after which the peer sent its last heartbeat. */
  readonly onMessage: (
    peer: handshake.PeerIdentity,
    message: frame.WireMessage,
    sentAfter: number,
  ) => void;
  readonly onPeerReady: (peer: handshake.PeerIdentity) => void;
  readonly onPeerLost: (peer: handshake.PeerIdentity) => void;
}

interface Dialer {
  readonly address: string;
  failures: number;
  timer?: clock.Timer;
  /** Whether no more than a visit is meant. */
  isVisit?: boolean;
  /** The link that was opened last. */
  link?: link.Link;
}

/**
 * All links of one daemon: accepts connections on one listening socket, maintains a link to every configured
 * peer, and sends to a peer over the link that received a frame last.
 */
export class PeerNetwork {
  private readonly server: net.Server;

  private readonly links = new Set<link.Link>();

  private readonly dialers = new Map<string, Dialer>();

  private readonly closedLinkTraffic = new Map<string, link.LinkTraffic>();

  private ownAddress = '';

  private closed = false;

  constructor(
    private readonly options: PeerNetworkOptions,
    private readonly handlers: PeerNetworkHandlers,
  ) {
    this.server = net.createServer((socket) => this.open(socket));
  }

  /** Starts to accept links and resolves with the address that peers use. */
  async listen(): Promise<string> {
    const { listenHost, listenPort } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(listenPort, listenHost, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.server.on('error', (error) =>
      logger.error('peer listener failed', { reason: error.message }),
    );
    const port = this.listeningPort;
    this.ownAddress = this.options.advertisedAddress ?? addresses.formatAddress(listenHost, port);
    return this.ownAddress;
  }

  /** The port of the listening socket, which may differ from the port of the advertised address. */
  get listeningPort(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  get address(): string {
    return this.ownAddress;
  }

  /** Maintains a link to each address, except to the daemon's own address. */
  connect(peerAddresses: readonly string[]): void {
    peerAddresses.forEach((address) => {
      const dialer = this.dialers.get(address);
      if (dialer !== undefined) {
        dialer.isVisit = false;
      }
    });
    peerAddresses
      .filter((address) => address !== this.ownAddress && !this.dialers.has(address))
      .forEach((address) => {
        const dialer = { address, failures: 0 };
        this.dialers.set(address, dialer);
        this.dial(dialer);
      });
  }

  /** Maintains a link to a daemon that is not expected to be reachable; its failures are logged at the level debug. */
  visit(address: string): void {
    if (address !== this.ownAddress && !this.dialers.has(address)) {
      const dialer = { address, failures: 0, isVisit: true };
      this.dialers.set(address, dialer);
      this.dial(dialer);
    }
  }

  /** Ends the links to these addresses that this daemon maintains; links that the peers opened stay. */
  disconnect(peerAddresses: readonly string[]): void {
    peerAddresses.forEach((address) => {
      const dialer = this.dialers.get(address);
      this.dialers.delete(address);
      dialer?.timer?.cancel();
      dialer?.link?.close(link.LinkCloseReason.ClosedLocally);
    });
  }

  /** Addresses at which this many attempts in a row to connect have failed. */
  unreachableAddresses(minimumFailures: number): string[] {
    return [...this.dialers.values()]
      .filter(({ address, failures }) => failures >= minimumFailures && !this.isLinked(address))
      .map(({ address }) => address);
  }

  /** Sends to the daemon that listens on `address`; false when there is no link to it. */
  send(address: string, message: frame.WireMessage): boolean {
    return this.latestLink(address)?.send(message) ?? false;
  }

  /** Sends an encoded message, so that one for several daemons is encoded once. */
  sendFrame(address: string, encoded: Buffer): boolean {
    return this.latestLink(address)?.sendFrame(encoded) ?? false;
  }

  /** Sends a message to each linked daemon once. */
  broadcast(message: frame.WireMessage): void {
    const encoded = frame.encodeFrame(message);
    if (encoded.ok) {
      this.latestLinks().forEach((peerLink) => peerLink.sendFrame(encoded.val));
    }
  }

  /** Sends a heartbeat now instead of at the next interval, to every linked daemon or to the selected ones. */
  sendHeartbeats(isSelected: (address: string) => boolean = () => true): void {
    this.latestLinks().forEach((peerLink, address) => {
      if (isSelected(address)) {
        peerLink.sendHeartbeat();
      }
    });
  }

  /** Whether this daemon maintains a link to the address, as it does to every daemon with a replica. */
  isConfigured(address: string): boolean {
    return this.dialers.has(address);
  }

  isLinked(address: string): boolean {
    return this.latestLink(address) !== undefined;
  }

  /** Whether each configured peer is linked or an attempt to connect to it has failed. */
  get everyPeerTried(): boolean {
    return [...this.dialers.values()].every(
      (dialer) => dialer.failures > 0 || this.isLinked(dialer.address),
    );
  }

  /** The addresses to which this daemon maintains links or tries to. */
  dialedAddresses(): string[] {
    return [...this.dialers.keys()];
  }

  linkedAddresses(): string[] {
    return [...this.latestLinks().keys()];
  }

  /** Bytes of all links to each peer by daemon id, including closed links. */
  traffic(): ReadonlyMap<string, link.LinkTraffic> {
    const sums = new Map(this.closedLinkTraffic);
    this.links.forEach((entry) => addTraffic(sums, entry.peer, entry.traffic));
    return sums;
  }

  async close(): Promise<void> {
    this.closed = true;
    this.dialers.forEach((dialer) => dialer.timer?.cancel());
    this.links.forEach((entry) => entry.close(link.LinkCloseReason.ClosedLocally));
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private latestLink(address: string): link.Link | undefined {
    return this.latestLinks(address).get(address);
  }

  /** For each linked daemon the link that received a frame last; with `onlyAddress` only the one for that address. */
  private latestLinks(onlyAddress?: string): Map<string, link.Link> {
    const latestByAddress = new Map<string, link.Link>();
    this.links.forEach((entry) => {
      const address = entry.peer?.address;
      if (address !== undefined && (onlyAddress === undefined || address === onlyAddress)) {
        const latest = latestByAddress.get(address);
        if (latest === undefined || entry.lastReceivedAt > latest.lastReceivedAt) {
          latestByAddress.set(address, entry);
        }
      }
    });
    return latestByAddress;
  }

  /** Connects to the peer, unless there is a link to it already. */
  private dial(dialer: Dialer): void {
    if (this.closed) {
      return;
    }
    if (this.isLinked(dialer.address)) {
      this.retryLater(dialer, RECHECK_FAILURES);
      return;
    }
    const socket = net.connect(addresses.parseAddress(dialer.address));
    this.open(socket, dialer);
  }

  private retryLater(target: Dialer, failures: number): void {
    const dialer = target;
    dialer.timer?.cancel();
    const delay = backoff.reconnectDelay(failures, this.options.random);
    dialer.timer = this.options.clock.setTimer(delay, () => this.dial(dialer));
  }

  private open(socket: net.Socket, dialer?: Dialer): void {
    const { daemonId, zone, preSharedKey } = this.options;
    const options = {
      identity: { daemonId, zone, address: this.ownAddress },
      preSharedKey,
      clock: this.options.clock,
      heartbeat: this.options.heartbeat,
      heartbeatInterval: this.options.heartbeatInterval,
    };
    const opened = new link.Link(socket, options, {
      onReady: (readyLink) => this.handleReady(readyLink, dialer),
      onMessage: (from, message) => this.receive(from, message),
      onClosed: (closedLink, reason, detail) =>
        this.handleClosed(closedLink, reason, detail, dialer),
    });
    this.links.add(opened);
    if (dialer !== undefined) {
      Object.assign(dialer, { link: opened });
    }
  }

  private handleReady(opened: link.Link, dialer?: Dialer): void {
    if (dialer !== undefined) {
      Object.assign(dialer, { failures: 0 });
    }
    if (opened.peer !== undefined) {
      this.handlers.onPeerReady(opened.peer);
    }
  }

  private receive(from: link.Link, message: frame.WireMessage): void {
    try {
      this.handlers.onMessage(from.peer!, message, from.peerSentAfter);
    } catch (error) {
      const detail = (error as Error).message.slice(0, MAXIMUM_DETAIL_CHARACTERS);
      from.close(link.LinkCloseReason.Malformed, detail);
    }
  }

  private handleClosed(
    closedLink: link.Link,
    reason: link.LinkCloseReason,
    detail: string,
    dialer?: Dialer,
  ): void {
    const { peer, remote } = closedLink;
    addTraffic(this.closedLinkTraffic, peer, closedLink.traffic);
    this.links.delete(closedLink);
    if (this.closed) {
      return;
    }
    logClosedLink(reason, detail, peer?.address ?? dialer?.address ?? remote, dialer);
    const isDialed = dialer !== undefined && this.dialers.get(dialer.address) === dialer;
    if (isDialed && reason !== link.LinkCloseReason.OwnConnection) {
      Object.assign(dialer, { failures: dialer.failures + 1 });
      this.retryLater(dialer, dialer.failures);
    }
    if (peer !== undefined && !this.isLinked(peer.address)) {
      this.handlers.onPeerLost(peer);
    }
  }
}

const logger = new logging.Logger('wire');

const MAXIMUM_DETAIL_CHARACTERS = 300;

// While a link that the peer opened is in use, its end is detected within the longest reconnect delay.
const RECHECK_FAILURES = 10;

function addTraffic(
  sums: Map<string, link.LinkTraffic>,
  peer: handshake.PeerIdentity | undefined,
  traffic: link.LinkTraffic,
): void {
  if (peer !== undefined) {
    const { sentBytes = 0, receivedBytes = 0 } = sums.get(peer.daemonId) ?? {};
    sums.set(peer.daemonId, {
      sentBytes: sentBytes + traffic.sentBytes,
      receivedBytes: receivedBytes + traffic.receivedBytes,
    });
  }
}

const EXPECTED_REASONS = new Set([
  link.LinkCloseReason.EndedByPeer,
  link.LinkCloseReason.OwnConnection,
  link.LinkCloseReason.ClosedLocally,
]);

/** Logs one line for each lost link; repeated failures to connect to the same peer have level debug. */
function logClosedLink(
  reason: link.LinkCloseReason,
  detail: string,
  peer: string,
  dialer: Dialer | undefined,
): void {
  const fields = { peer, reason, detail };
  const repeated =
    reason === link.LinkCloseReason.ConnectionError && dialer !== undefined && dialer.failures > 0;
  if (dialer?.isVisit === true) {
    logger.debug('visit of a daemon ended', fields);
  } else if (repeated) {
    logger.debug('peer is still unreachable; retrying', fields);
  } else if (EXPECTED_REASONS.has(reason)) {
    logger.information('peer link ended', fields);
  } else {
    logger.warning('peer link closed', fields);
  }
}
