import * as results from 'ts-results';
import * as configuration from '../../src/configuration';
import * as control from '../../src/control';
import type * as fakeControlState from './fake-control-state';

type Listener = (payload: unknown, fromDaemonId: string) => void;

/** One daemon's view of a `FakeControlState`; can be disconnected from the majority and from its peers. */
export class FakeControlPlane extends control.ControlPlane {
  isCutOff = false;

  /** Age of this daemon's copy of the configuration in milliseconds. */
  copyAge = 0;

  /** Whether commands are committed while their results are lost. */
  losesResults = false;

  private readonly configurationListeners = new Set<
    (snapshot: configuration.ConfigurationSnapshot) => void
  >();

  private readonly listeners = new Map<control.PeerTopic, Set<Listener>>();

  constructor(
    private readonly shared: fakeControlState.FakeControlState,
    private readonly daemonId: string,
  ) {
    super();
    shared.planes.add(this);
  }

  override async propose(
    proposal: control.Command,
  ): Promise<results.Result<control.CommandResult, control.ProposalFailure>> {
    if (this.isCutOff) {
      return new results.Err(control.ProposalFailure.NoLeader);
    }
    const result = this.shared.apply(proposal);
    return this.losesResults
      ? new results.Err(control.ProposalFailure.Timeout)
      : new results.Ok(result);
  }

  override configuration(): configuration.ConfigurationSnapshot {
    return this.shared.snapshot;
  }

  override onConfiguration(
    listener: (snapshot: configuration.ConfigurationSnapshot) => void,
  ): () => void {
    this.configurationListeners.add(listener);
    return () => this.configurationListeners.delete(listener);
  }

  override register(): control.Register {
    return control.EMPTY_REGISTER;
  }

  override onRegister(): () => void {
    return () => {};
  }

  override copyAgeMilliseconds(): number {
    return this.copyAge;
  }

  override onDaemonCount(listener: (daemons: number) => void): () => void {
    listener(1);
    return () => {};
  }

  override orderHistory(): control.OrderHistory {
    return { knownSince: Number.POSITIVE_INFINITY, orders: [] };
  }

  override broadcast(topic: control.PeerTopic, payload: unknown): void {
    [...this.shared.planes]
      .filter((plane) => plane !== this && !plane.isCutOff && !this.isCutOff)
      .forEach((plane) => plane.receive(topic, payload, this.daemonId));
  }

  override send(daemonId: string, topic: control.PeerTopic, payload: unknown): void {
    [...this.shared.planes]
      .filter((plane) => plane.daemonId === daemonId && !plane.isCutOff && !this.isCutOff)
      .forEach((plane) => plane.receive(topic, payload, this.daemonId));
  }

  override sendToLeader(): boolean {
    return false;
  }

  override onBroadcast(topic: control.PeerTopic, listener: Listener): () => void {
    const listeners = this.listeners.get(topic) ?? new Set();
    this.listeners.set(topic, listeners.add(listener));
    return () => listeners.delete(listener);
  }

  override leadership(): control.Leadership {
    return { role: control.ReplicaRole.None, term: 1 };
  }

  override status(): control.ControlStatus {
    return {
      ...this.leadership(),
      daemonId: this.daemonId,
      zone: 'pl-caudan',
      commitIndex: 0,
      voters: [],
      revision: this.shared.snapshot.revision,
      peers: [],
    };
  }

  override async ready(): Promise<void> {}

  override async close(): Promise<void> {
    this.shared.planes.delete(this);
  }

  notifyConfigurationListeners(snapshot: configuration.ConfigurationSnapshot): void {
    this.configurationListeners.forEach((listener) => listener(snapshot));
  }

  /** A message from the leader. */
  deliver(topic: control.PeerTopic, payload: unknown): void {
    this.receive(topic, payload, 'leader');
  }

  private receive(topic: control.PeerTopic, payload: unknown, fromDaemonId: string): void {
    this.listeners.get(topic)?.forEach((listener) => listener(payload, fromDaemonId));
  }
}
