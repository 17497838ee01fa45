import * as clock from '../clock';
import * as control from '../control';
import * as decision from '../decision';
import * as routing from '../routing';

/** What the watch works with. */
export interface PeerPositionPorts {
  readonly plane: Pick<control.ControlPlane, 'status'>;
  readonly task: Pick<routing.DecisionTask, 'feed' | 'now'>;
  readonly time: clock.Clock;
}

/**
 * Tells the decision task how many daemons are connected and which place this one has among them, at each
 * change. Returns a function that ends this.
 *
 * @example
 * lifecycle.own('peer position', watchPeerPosition({ plane, task, time }));
 */
export function watchPeerPosition({ plane, task, time }: PeerPositionPorts): () => void {
  let timer: clock.Timer;
  let told = { position: 0, count: 1 };
  const look = (): void => {
    const found = positionOf(plane.status());
    if (found.position !== told.position || found.count !== told.count) {
      told = found;
      task.feed({ kind: decision.DecisionEventKind.PeersChanged, at: task.now(), ...found });
    }
    timer = time.setTimer(INTERVAL_MILLISECONDS, look);
  };
  look();
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

// Peers come and go rarely; a link that fails is noticed only after seconds anyway.
const INTERVAL_MILLISECONDS = 250;
