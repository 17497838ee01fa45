import * as clock from '../clock';
import type * as wire from '../wire';
import type * as controlPlane from './control-plane';

interface PeerRecord {
  identity: wire.PeerIdentity;
  /** Unknown until the first heartbeat. */
  revision: number | undefined;
  register: number;
  connected: boolean;
  heardAt: number;
}

// A VM that was replaced is listed long enough for an operator to see that it left.
const FORGET_MILLISECONDS = 60_000;

/** What a daemon knows about its peers, by address. */
export class PeerDirectory {
  private readonly peers = new Map<string, PeerRecord>();

  constructor(private readonly time: clock.Clock) {}

  recordConnected(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    const isSame = known?.identity.daemonId === identity.daemonId;
    const revision = isSame ? known.revision : undefined;
    const heardAt = this.time.monotonic();
    const register = isSame ? known.register : 0;
    const record = { identity, revision, register, connected: true, heardAt };
    this.peers.set(identity.address, record);
  }

  recordDisconnected(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    if (known?.identity.daemonId === identity.daemonId) {
      known.connected = false;
    }
  }

  /** Notes that something arrived from a peer. */
  recordContact(identity: wire.PeerIdentity): void {
    const known = this.peers.get(identity.address);
    if (known !== undefined) {
      known.heardAt = this.time.monotonic();
    }
  }

  recordHeartbeat(identity: wire.PeerIdentity, revision: number, register: number): void {
    const known = this.peers.get(identity.address);
    if (known?.identity.daemonId === identity.daemonId) {
      known.revision = revision;
      known.register = register;
    }
  }

  /** Where a connected peer listens. */
  addressOf(daemonId: string): string | undefined {
    return [...this.peers.values()].find(
      ({ identity, connected }) => connected && identity.daemonId === daemonId,
    )?.identity.address;
  }

  /** Whether every connected peer has told what it has, and none has a higher revision or register. */
  isUpToDate(revision: number, register: number): boolean {
    return [...this.peers.values()]
      .filter((peer) => peer.connected)
      .every(
        (peer) =>
          peer.revision !== undefined && peer.revision <= revision && peer.register <= register,
      );
  }

  status(): controlPlane.PeerStatus[] {
    const now = this.time.monotonic();
    return [...this.peers.values()]
      .filter((peer) => peer.connected || now - peer.heardAt < FORGET_MILLISECONDS)
      .map(({ identity, revision, connected, heardAt }) => ({
        ...identity,
        revision: revision ?? 0,
        connected,
        millisecondsSinceHeard: Math.round(now - heardAt),
      }));
  }
}
