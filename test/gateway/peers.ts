import * as control from '../../src/control';

type Listener = (payload: unknown, from: string) => void;

/** A network of daemons in which messages arrive at once. */
export class Peers {
  private readonly listeners: { id: string; topic: control.PeerTopic; listener: Listener }[] = [];

  private readonly leadership = new Map<string, control.Leadership>();

  /** Number of delivered messages by sender. */
  readonly sent = new Map<string, number>();

  isCut = false;

  /** Bytes of all messages as JSON, counted once for each receiver. */
  bytes = 0;

  plane(daemonId: string, role: control.ReplicaRole) {
    this.lead(daemonId, role);
    const status = (): control.ControlStatus => ({
      ...this.leadership.get(daemonId)!,
      daemonId,
      zone: 'z',
      commitIndex: 0,
      voters: [],
      revision: 0,
      peers: [],
    });
    return {
      status,
      leadership: status,
      broadcast: (topic: control.PeerTopic, payload: unknown) =>
        this.deliver(daemonId, topic, payload, () => true),
      send: (target: string, topic: control.PeerTopic, payload: unknown) => {
        this.deliver(daemonId, topic, payload, (id) => id === target);
      },
      sendToLeader: (topic: control.PeerTopic, payload: unknown) =>
        this.deliver(daemonId, topic, payload, (id) => this.isLeader(id)),
      onBroadcast: (topic: control.PeerTopic, listener: Listener) => {
        this.listeners.push({ id: daemonId, topic, listener });
        return () => {};
      },
    };
  }

  /** Changes the role of a daemon; a new leader starts a new term, which all daemons learn at once. */
  lead(daemonId: string, role: control.ReplicaRole): void {
    const terms = [...this.leadership.values()].map(({ term }) => term);
    const term = Math.max(0, ...terms) + (role === control.ReplicaRole.Leader ? 1 : 0);
    this.leadership.forEach((known, id) => this.leadership.set(id, { ...known, term }));
    this.leadership.set(daemonId, { role, term });
  }

  private isLeader(daemonId: string): boolean {
    return this.leadership.get(daemonId)?.role === control.ReplicaRole.Leader;
  }

  private deliver(
    from: string,
    topic: control.PeerTopic,
    payload: unknown,
    isMeant: (daemonId: string) => boolean,
  ): boolean {
    const receivers = this.listeners.filter(
      ({ id, topic: wanted }) => !this.isCut && id !== from && wanted === topic && isMeant(id),
    );
    receivers.forEach(({ listener }) => {
      this.bytes += JSON.stringify(payload).length;
      listener(payload, from);
    });
    this.sent.set(from, (this.sent.get(from) ?? 0) + receivers.length);
    return receivers.length > 0;
  }
}
