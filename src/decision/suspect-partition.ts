import type * as state from './state';

/** The daemons that share the servers, and the place of this one among them. */
export interface PeerPosition {
  /** From 0 to `count - 1`, in the order of the daemons' ids. */
  readonly position: number;
  readonly count: number;
}

/** A daemon that knows no peers uses every server. */
export const SINGLE_DAEMON: PeerPosition = { position: 0, count: 1 };

/**
 * The listed servers of a service at which other daemons run their suspects. Each daemon takes every
 * `count`-th server of the platform's list. Dead servers stay in the list, so that a crash, which the
 * daemons notice at different times, does not shift the shares against each other. With fewer servers
 * than daemons some daemons would have none; these use every server.
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
