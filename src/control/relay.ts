import type * as controlPlane from './control-plane';

/** A peer's announcement of a higher revision, and the state of the daemon that receives it. */
export interface Announcement {
  readonly ownDaemonId: string;
  readonly ownZone: string;
  readonly fromZone: string;
  readonly peers: readonly controlPlane.PeerStatus[];
  /** Time since a peer first announced a higher revision. */
  readonly behindMilliseconds: number;
}

// If the relaying daemon fails, the others request at the next heartbeat, well within 5 s.
const RELAY_WAIT_MILLISECONDS = 500;

/**
 * Whether to request the configuration from the announcing peer now. Of the daemons in an availability zone
 * only the one with the lowest id requests it from other zones; the others get the copy from that daemon, so
 * that replicas send each revision once for each zone.
 */
export function mayRequest(announcement: Announcement): boolean {
  const { ownDaemonId, ownZone, fromZone, peers, behindMilliseconds } = announcement;
  const isRelay = peers
    .filter((peer) => peer.connected && peer.zone === ownZone)
    .every((peer) => ownDaemonId < peer.daemonId);
  return fromZone === ownZone || isRelay || behindMilliseconds >= RELAY_WAIT_MILLISECONDS;
}
