import type * as controlPlane from './control-plane';

/** What a daemon knows when a peer announces a higher revision. */
export interface Announcement {
  readonly ownDaemonId: string;
  readonly ownZone: string;
  readonly fromZone: string;
  readonly peers: readonly controlPlane.PeerStatus[];
  /** How long the daemon has known that it is behind. */
  readonly behindMilliseconds: number;
}

// When the relaying daemon fails, the others ask at the next heartbeat, well within 5 s.
const RELAY_WAIT_MILLISECONDS = 500;

/**
 * Whether to ask the announcing peer for its configuration now. Of the daemons in an availability zone only
 * the one with the lowest id asks across its border; the others get the copy from it, so that replicas send
 * each revision once for each zone.
 */
export function mayRequest(announcement: Announcement): boolean {
  const { ownDaemonId, ownZone, fromZone, peers, behindMilliseconds } = announcement;
  const isRelay = peers
    .filter((peer) => peer.connected && peer.zone === ownZone)
    .every((peer) => ownDaemonId < peer.daemonId);
  return fromZone === ownZone || isRelay || behindMilliseconds >= RELAY_WAIT_MILLISECONDS;
}
