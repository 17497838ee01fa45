import * as control from '../../src/control';

type Listener = (payload: unknown, from: string) => void;

/** Daemons that hear each other's messages at once. */
export class Peers {
  private readonly listeners: { id: string; topic: control.PeerTopic; listener: Listener }[] = [];

  isCut = false;

  /** Bytes of all messages as JSON, once for each daemon that got them. */
  bytes = 0;

  plane(daemonId: string, role: control.ReplicaRole) {
    const status: control.ControlStatus = {
      daemonId,
      zone: 'z',
      role,
      term: 1,
      commitIndex: 0,
      voters: [],
      revision: 0,
      peers: [],
    };
    return {
      status: () => status,
      broadcast: (topic: control.PeerTopic, payload: unknown) =>
        this.deliver(daemonId, topic, payload, (id) => id !== daemonId),
      send: (target: string, topic: control.PeerTopic, payload: unknown) =>
        this.deliver(daemonId, topic, payload, (id) => id === target),
      onBroadcast: (topic: control.PeerTopic, listener: Listener) => {
        this.listeners.push({ id: daemonId, topic, listener });
        return () => {};
      },
    };
  }

  private deliver(
    from: string,
    topic: control.PeerTopic,
    payload: unknown,
    isReceiver: (id: string) => boolean,
  ): void {
    this.listeners
      .filter((entry) => !this.isCut && entry.topic === topic && isReceiver(entry.id))
      .forEach(({ listener }) => {
        this.bytes += JSON.stringify(payload).length;
        listener(payload, from);
      });
  }
}
