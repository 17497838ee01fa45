import * as clock from '../clock';
import * as control from '../control';
import * as decision from '../decision';
import * as routing from '../routing';

/** Dependencies of `watchPeerPosition`. */
export interface PeerPositionPorts {
  readonly plane: Pick<control.ControlPlane, 'status'>;
  readonly task: Pick<routing.DecisionTask, 'feed' | 'now'>;
  readonly time: clock.Clock;
}

/**
 * Sends the decision task the number of connected daemons and the index of this daemon in their sorted list
 * whenever one of them changes, starting from a single daemon. Returns a function that stops it.
 *
 * @example
 * lifecycle.register('peer position', watchPeerPosition({ plane, task, time }));
 */
export function watchPeerPosition({ plane, task, time }: PeerPositionPorts): () => void {
  let timer: clock.Timer;
  let last = { position: 0, count: 1 };
  const checkPeers = (): void => {
    const current = positionOf(plane.status());
    if (current.position !== last.position || current.count !== last.count) {
      last = current;
      task.feed({ kind: decision.DecisionEventKind.PeersChanged, at: task.now(), ...current });
    }
    timer = time.setTimer(INTERVAL_MILLISECONDS, checkPeers);
  };
  checkPeers();
  return () => timer.cancel();
}

function positionOf({ daemonId, peers }: control.ControlStatus): {
  position: number;
  count: number;
} {
  const connected = peers.filter((peer) => peer.connected).map((peer) => peer.daemonId);
  const ids = [...new Set([daemonId, ...connected])].sort();
  return { position: ids.indexOf(daemonId), count: ids.length };
}

// Peers change rarely, and a broken link is detected only after seconds anyway.
const INTERVAL_MILLISECONDS = 250;
