import * as clock from '../clock';
import * as control from '../control';

/** Dependencies of an exchange. */
export interface StateExchangePorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'broadcast' | 'sendToLeader' | 'onBroadcast'
  >;
  readonly time: clock.Clock;
}

/**
 * Tells all daemons through the control leader what each has seen. Daemons send all that they have seen lately to the
 * leader, and the leader broadcasts the sum; both repeat it as long as there is some. Messages may be merged in any order
 * and any number of times, so that a lost message or a new leader costs no more than the pause between two.
 */
export abstract class StateExchange {
  private timer: clock.Timer | undefined;

  private timerAt = Number.POSITIVE_INFINITY;

  private readonly unsubscribe: () => void;

  constructor(
    protected readonly ports: StateExchangePorts,
    private readonly topic: control.PeerTopic,
  ) {
    this.unsubscribe = ports.plane.onBroadcast(topic, (payload) => this.receive(payload));
  }

  close(): void {
    this.unsubscribe();
    this.timer?.cancel();
  }

  protected get isLeader(): boolean {
    return this.ports.plane.leadership().role === control.ReplicaRole.Leader;
  }

  /** Merges a message of a daemon, if this one leads, or of the leader. */
  protected abstract receive(payload: unknown): void;

  /** What this daemon has seen lately; `undefined` if there is nothing to tell the leader. */
  protected abstract ownMessage(now: number): object | undefined;

  /** What this daemon knows of all daemons; `undefined` if there is nothing to tell them. */
  protected abstract leaderMessage(now: number): object | undefined;

  /** Sends the changed state within some tens of milliseconds. */
  protected stateChanged(): void {
    this.schedule(COLLECTION_MILLISECONDS);
  }

  private send(): void {
    const { plane, time } = this.ports;
    const now = time.monotonic();
    if (this.isLeader) {
      const message = this.leaderMessage(now);
      if (message !== undefined) {
        plane.broadcast(this.topic, message);
        this.schedule(REPEAT_MILLISECONDS);
      }
      return;
    }
    const message = this.ownMessage(now);
    if (message !== undefined) {
      const isSent = plane.sendToLeader(this.topic, message);
      this.schedule(isSent ? REPEAT_MILLISECONDS : RETRY_MILLISECONDS);
    }
  }

  /** Sends after the given time, unless it will send earlier. */
  private schedule(milliseconds: number): void {
    const at = this.ports.time.monotonic() + milliseconds;
    if (at >= this.timerAt) {
      return;
    }
    this.timer?.cancel();
    this.timerAt = at;
    this.timer = this.ports.time.setTimer(milliseconds, () => {
      this.timerAt = Number.POSITIVE_INFINITY;
      this.send();
    });
  }
}

/** A new leader is elected, and a lost link opened again, well within this time; then nobody repeats a report any more. */
export const RECENT_MILLISECONDS = 8_000;

/** Several requests of a daemon are lost at one crash within this time. */
const COLLECTION_MILLISECONDS = 50;

/** Until there is a link to the leader, which is elected within a second. */
const RETRY_MILLISECONDS = 200;

const REPEAT_MILLISECONDS = 2_000;
