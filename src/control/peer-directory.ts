import * as clock from '../clock';
import type * as wire from '../wire';
import type * as controlPlane from './control-plane';

interface PeerRecord {
  identity: wire.PeerIdentity;
  /** Unknown until the first heartbeat. */
  revision: number | undefined;
  registerSequence: number;
  connected: boolean;
  lastContactAt: number;
}

// A VM that was replaced stays in the status long enough for an operator to notice that it left.
const DISCONNECTED_RETENTION_MILLISECONDS = 60_000;

const PRUNE_MILLISECONDS = 1_000;

/** Connections of a daemon's peers, and the revisions and register sequences that these reported, by address. */
export class PeerDirectory {
  private readonly peers = new Map<string, PeerRecord>();

  private connections = 0;

  private prunedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly time: clock.Clock) {}

  recordConnected(identity: wire.PeerIdentity): void {
    const peer = this.peers.get(identity.address);
    const isSame = peer?.identity.daemonId === identity.daemonId;
    const revision = isSame ? peer.revision : undefined;
    const lastContactAt = this.time.monotonic();
    const registerSequence = isSame ? peer.registerSequence : 0;
    const record = { identity, revision, registerSequence, connected: true, lastContactAt };
    this.peers.set(identity.address, record);
    this.connections += 1;
  }

  recordDisconnected(identity: wire.PeerIdentity): void {
    const peer = this.peers.get(identity.address);
    if (peer?.identity.daemonId === identity.daemonId) {
      peer.connected = false;
      this.connections += 1;
    }
  }

  /** Records that a message arrived from a peer. */
  recordContact(identity: wire.PeerIdentity): void {
    const peer = this.peers.get(identity.address);
    if (peer !== undefined) {
      peer.lastContactAt = this.time.monotonic();
    }
  }

  recordHeartbeat(identity: wire.PeerIdentity, revision: number, registerSequence: number): void {
    const peer = this.peers.get(identity.address);
    if (peer?.identity.daemonId === identity.daemonId) {
      peer.revision = revision;
      peer.registerSequence = registerSequence;
    }
  }

  /** Changes when a peer is connected or lost. */
  get edition(): number {
    return this.connections;
  }

  /** The peers that are connected. */
  connected(): readonly wire.PeerIdentity[] {
    return [...this.peers.values()]
      .filter(({ connected }) => connected)
      .map(({ identity }) => identity);
  }

  /** Number of peers that are connected or were lately. */
  get size(): number {
    const now = this.time.monotonic();
    if (now - this.prunedAt >= PRUNE_MILLISECONDS) {
      this.prunedAt = now;
      this.peers.forEach(({ connected, lastContactAt }, address) => {
        if (!connected && now - lastContactAt >= DISCONNECTED_RETENTION_MILLISECONDS) {
          this.peers.delete(address);
        }
      });
    }
    return this.peers.size;
  }

  /** The address of a connected peer. */
  addressOf(daemonId: string): string | undefined {
    return [...this.peers.values()].find(
      ({ identity, connected }) => connected && identity.daemonId === daemonId,
    )?.identity.address;
  }

  /** Whether the peer has not reported this revision and this register, or later ones. */
  isBehind(address: string, revision: number, registerSequence: number): boolean {
    const peer = this.peers.get(address);
    return (
      peer?.revision === undefined ||
      peer.revision < revision ||
      peer.registerSequence < registerSequence
    );
  }

  /** Whether every connected peer has reported its state, and none has a higher revision or register. */
  isUpToDate(revision: number, registerSequence: number): boolean {
    return [...this.peers.values()]
      .filter((peer) => peer.connected)
      .every(
        (peer) =>
          peer.revision !== undefined &&
          peer.revision <= revision &&
          peer.registerSequence <= registerSequence,
      );
  }

  status(): controlPlane.PeerStatus[] {
    const now = this.time.monotonic();
    return [...this.peers.values()]
      .filter(
        (peer) => peer.connected || now - peer.lastContactAt < DISCONNECTED_RETENTION_MILLISECONDS,
      )
      .map(({ identity, revision, connected, lastContactAt }) => ({
        ...identity,
        revision: revision ?? 0,
        connected,
        millisecondsSinceHeard: Math.round(now - lastContactAt),
      }));
  }
}
