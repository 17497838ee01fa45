import type * as state from './state';

/** The number of daemons that share the servers, and the position of this one among them. */
export interface PeerPosition {
  /** From 0 to `count - 1`, in the order of the daemons' ids. */
  readonly position: number;
  readonly count: number;
}

/** Position of a daemon without connected peers, which uses every server. */
export const SINGLE_DAEMON: PeerPosition = { position: 0, count: 1 };

/**
 * The listed servers of a service at which other daemons run their suspects. The partition of a daemon is
 * every `count`-th server of the platform's list. Dead servers stay in the list, because the daemons detect a
 * crash at different times, and partitions that move at different times would overlap. With fewer servers
 * than daemons some partitions are empty; their daemons use every server.
 *
 * @example
 * reservedForPeers(state, 'inspection-desk').has('runner-1');
 */
export function reservedForPeers(
  { listed, peers }: state.DecisionState,
  service: string,
): ReadonlySet<string> {
  const servers = listed.get(service, []);
  const own = servers.filter((_, index) => index % peers.count === peers.position);
  return own.length === 0 ? new Set() : new Set(servers.filter((id) => !own.includes(id)));
}
