import * as control from '../../src/control';

type Listener = (payload: unknown, from: string) => void;

/** Daemons that hear each other's broadcasts at once. */
export class Peers {
  private readonly listeners: { id: string; topic: control.PeerTopic; listener: Listener }[] = [];

  isCut = false;

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
      leadership: () => status,
      broadcast: (topic: control.PeerTopic, payload: unknown) =>
        this.listeners
          .filter((entry) => !this.isCut && entry.id !== daemonId && entry.topic === topic)
          .forEach(({ listener }) => listener(payload, daemonId)),
      onBroadcast: (topic: control.PeerTopic, listener: Listener) => {
        this.listeners.push({ id: daemonId, topic, listener });
        return () => {};
      },
    };
  }
}
