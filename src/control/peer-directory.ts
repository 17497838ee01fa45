import * as clock from '../clock';
import type * as wire from '../wire';
import type * as controlPlane from './control-plane';

interface PeerRecord {
  identity: wire.PeerIdentity;
  revision: number;
  connected: boolean;
  heardAt: number;
}

// A VM that was replaced is listed long enough for an operator to see that it left.
const FORGET_MILLISECONDS = 60_000;

/** What a daemon knows about its peers, by address. */
export class PeerDirectory {
  private readonly peers = new Map<string, PeerRecord>();

  constructor(private readonly time: clock.Clock) {}

  connected(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    const isSame = known?.identity.daemonId === identity.daemonId;
    const revision = isSame ? known.revision : 0;
    const heardAt = this.time.monotonic();
    this.peers.set(identity.address, { identity, revision, connected: true, heardAt });
  }

  lost(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    if (known?.identity.daemonId === identity.daemonId) {
      known.connected = false;
    }
  }

  /** Notes that something arrived from a peer. */
  heard(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    if (known !== undefined) {
      known.heardAt = this.time.monotonic();
    }
  }

  reported(identity: wire.PeerIdentity, revision: number): void {
    const known = this.peers.get(identity.address);
    if (known?.identity.daemonId === identity.daemonId) {
      known.revision = revision;
    }
  }

  /** Highest revision of the connected peers. */
  highestRevision(): number {
    const revisions = [...this.peers.values()]
      .filter((peer) => peer.connected)
      .map((peer) => peer.revision);
    return Math.max(0, ...revisions);
  }

  status(): controlPlane.PeerStatus[] {
    const now = this.time.monotonic();
    return [...this.peers.values()]
      .filter((peer) => peer.connected || now - peer.heardAt < FORGET_MILLISECONDS)
      .map(({ identity, revision, connected, heardAt }) => ({
        ...identity,
        revision,
        connected,
        millisecondsSinceHeard: Math.round(now - heardAt),
      }));
  }
}
