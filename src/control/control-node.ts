import * as results from 'ts-results';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as lifecycle from '../lifecycle';
import * as logging from '../logging';
import * as replica from '../replica';
import * as storage from '../storage';
import * as wire from '../wire';
import * as clockOffsets from './clock-offsets';
import type * as command from './command';
import * as configurationStore from './configuration-store';
import * as controlPlane from './control-plane';
import * as copyAge from './copy-age';
import * as daemonCount from './daemon-count';
import * as knownDaemons from './known-daemons';
import * as neighbourSelection from './neighbours';
import * as orderHistory from './order-history';
import * as peerDirectory from './peer-directory';
import * as peerMessage from './peer-message';
import * as proposalForwarder from './proposal-forwarder';
import * as rediscovery from './rediscovery';
import * as registers from './register';
import * as registerStore from './register-store';
import * as relay from './relay';
import * as replicaContact from './replica-contact';
import * as replicaSupervisor from './replica-supervisor';
import type * as replicaTask from './replica-task';

/** Options of a control node. */
export interface ControlNodeOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly listenHost: string;
  /** 0 lets the operating system choose. */
  readonly listenPort: number;
  /** `host:port` that peers use; by default the listening address. */
  readonly advertisedAddress?: string;
  /** Addresses of all daemons; that of this daemon may be among them. */
  readonly peers: readonly string[];
  /** Addresses of the initial replicas, a subset of the peers. */
  readonly replicas: readonly string[];
  /**
   * Whether this start may bootstrap the group of replicas. If not, a replica with an empty disk only joins.
   * By default true.
   */
  readonly mayBootstrap?: boolean;
  /** Reads the addresses of control daemons from the settings again, which may have changed since the start. */
  readonly readSeeds?: () => Promise<readonly string[]>;
  readonly preSharedKey: string;
  /** Without a data folder the daemon hosts no replica. */
  readonly dataFolder?: string;
  readonly clock: clock.Clock;
  readonly random: clock.RandomSource;
  readonly lifecycle: lifecycle.LifecycleManager;
  /** Replaces the operating system's files in tests. */
  readonly fileSystem?: storage.FileSystem;
  readonly parameters?: Partial<replica.Parameters>;
}

type BroadcastListener = (payload: unknown, fromDaemonId: string) => void;

/** The `ControlPlane` of a daemon: its links to the peers and, with a data folder, its replica. */
export class ControlNode extends controlPlane.ControlPlane {
  private readonly network: wire.PeerNetwork;

  private readonly store = new configurationStore.ConfigurationStore();

  private readonly registerStore: registerStore.RegisterStore;

  private readonly suspensions: clock.SuspensionDetector;

  private readonly directory: peerDirectory.PeerDirectory;

  private readonly forwarder: proposalForwarder.ProposalForwarder;

  private readonly orderRecorder: orderHistory.OrderRecorder;

  private readonly daemonCount: daemonCount.DaemonCount;

  private readonly copyAge: copyAge.CopyAge;

  private readonly replicaContact: replicaContact.ReplicaContact;

  private readonly clockOffsets = new clockOffsets.ClockOffsets();

  private readonly broadcastListeners = new Map<controlPlane.PeerTopic, Set<BroadcastListener>>();

  private supervisor: replicaSupervisor.ReplicaSupervisor | undefined;

  /** The leader of the highest term that a peer has reported. */
  private reportedLeader: peerMessage.KnownLeader | undefined;

  private leaderAddress: string | undefined;

  /** Voters that a daemon with a replica has named last, or others while none is linked. */
  private reportedVoters: readonly string[] = [];

  private encodedRegister:
    { readonly sequence: number; readonly at: number; readonly frame: Buffer } | undefined;

  private readonly knownDaemons = new knownDaemons.KnownDaemons();

  private readonly rediscovery: rediscovery.Rediscovery;

  private neighbours = { edition: 0, selection: new neighbourSelection.Neighbours([]) };

  private configurationRequestedAt = Number.NEGATIVE_INFINITY;

  private registerRequestedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time in milliseconds at which a peer first announced a revision above the current one. */
  private behindSince: number | undefined;

  private startedAt: number;

  private closing: Promise<void> | undefined;

  constructor(private readonly options: ControlNodeOptions) {
    super();
    const { clock: time } = options;
    this.startedAt = time.monotonic();
    this.registerStore = new registerStore.RegisterStore(time);
    this.orderRecorder = new orderHistory.OrderRecorder(time);
    this.daemonCount = new daemonCount.DaemonCount(time);
    this.suspensions = new clock.SuspensionDetector(time);
    this.copyAge = new copyAge.CopyAge(time, this.suspensions);
    this.replicaContact = new replicaContact.ReplicaContact(time, () => this.contactFields());
    this.directory = new peerDirectory.PeerDirectory(time);
    this.network = new wire.PeerNetwork(
      {
        ...options,
        heartbeat: (peer) => this.heartbeat(peer),
        heartbeatInterval: (peer) => this.heartbeatInterval(peer),
      },
      {
        onMessage: (peer, message, sentAfter) => this.receive(peer, message, sentAfter),
        onPeerReady: (peer) => this.peerReady(peer),
        onPeerLost: (peer) => this.peerLost(peer),
      },
    );
    this.rediscovery = new rediscovery.Rediscovery({
      time,
      network: this.network,
      known: this.knownDaemons,
      copyAge: () => this.copyAgeMilliseconds(),
      hasReplica: () => this.replicaTask !== undefined || this.replicaContact.isLinked,
      required: () => [...options.peers, ...options.replicas, ...this.currentVoters()],
      readSeeds: options.readSeeds,
      fields: () => this.contactFields(),
    });
    this.forwarder = new proposalForwarder.ProposalForwarder(time, (address, message) =>
      this.network.send(address, message),
    );
  }

  /**
   * Listens, opens the data folder and connects to the peers.
   *
   * @example
   * const node = await ControlNode.start(options);
   * await node.ready();
   */
  static async start(options: ControlNodeOptions): Promise<ControlNode> {
    const node = new ControlNode(options);
    await node.listen();
    await node.join(options.peers, options.replicas);
    return node;
  }

  /** First half of `start`: resolves with the address that peers use. Rejects when the port is in use. */
  async listen(): Promise<string> {
    const address = await this.network.listen();
    this.options.lifecycle.register('control node', () => this.close());
    return address;
  }

  /** Second half of `start`, for callers that know the peers only after every port was chosen. */
  async join(peers: readonly string[], replicas: readonly string[]): Promise<void> {
    this.startedAt = this.options.clock.monotonic();
    if (this.options.dataFolder !== undefined) {
      this.supervisor = this.createSupervisor(this.options.dataFolder, replicas);
      await this.supervisor.start();
    }
    this.network.connect([...peers, ...replicas]);
    this.rediscovery.start();
  }

  /** The port that the operating system chose, when `listenPort` is 0. */
  get listeningPort(): number {
    return this.network.listeningPort;
  }

  override async propose(
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<replicaTask.ProposalResult> {
    const { clock: time, random } = this.options;
    const deadline = time.monotonic() + timeoutMilliseconds;
    let failure = controlPlane.ProposalFailure.NoLeader;
    for (
      let remainingMilliseconds = timeoutMilliseconds;
      remainingMilliseconds > 0;
      remainingMilliseconds = deadline - time.monotonic()
    ) {
      if (this.closing !== undefined) {
        return results.Err(controlPlane.ProposalFailure.Closed);
      }
      const outcome = await this.attempt(
        proposal,
        Math.min(remainingMilliseconds, ATTEMPT_MILLISECONDS),
      );
      if (outcome.ok) {
        return outcome;
      }
      // Once an attempt may have reached the log, the proposal may be committed later.
      failure = outcome.val === controlPlane.ProposalFailure.NoLeader ? failure : outcome.val;
      await time.sleep(RETRY_MILLISECONDS * (0.5 + random.uniform()));
    }
    return results.Err(failure);
  }

  override configuration(): configuration.ConfigurationSnapshot {
    return this.store.current;
  }

  override onConfiguration(
    listener: (snapshot: configuration.ConfigurationSnapshot) => void,
  ): () => void {
    return this.store.subscribe(listener);
  }

  override register(): registers.Register {
    return this.registerStore.current;
  }

  override onRegister(listener: (register: registers.Register) => void): () => void {
    return this.registerStore.subscribe(listener);
  }

  override copyAgeMilliseconds(): number {
    const task = this.replicaTask;
    if (
      task?.hasAppliedCommitted === true &&
      replica.hasCommittedInTerm(task.current) &&
      this.leaseRemaining(task.current) > 0
    ) {
      this.copyAge.confirm(this.position(), this.options.clock.monotonic());
    }
    return this.copyAge.milliseconds();
  }

  override onDaemonCount(listener: daemonCount.CountListener): () => void {
    return this.daemonCount.subscribe(listener);
  }

  override orderHistory(): orderHistory.OrderHistory {
    return this.orderRecorder.history;
  }

  override broadcast(topic: controlPlane.PeerTopic, payload: unknown): void {
    this.network.broadcast(topicMessage(topic, payload));
  }

  override send(daemonId: string, topic: controlPlane.PeerTopic, payload: unknown): void {
    const address = this.directory.addressOf(daemonId);
    if (address !== undefined) {
      this.network.send(address, topicMessage(topic, payload));
    }
  }

  override sendToLeader(topic: controlPlane.PeerTopic, payload: unknown): boolean {
    const leader = this.knownLeader();
    return (
      leader !== undefined &&
      leader.address !== this.network.address &&
      this.network.send(leader.address, topicMessage(topic, payload))
    );
  }

  override onBroadcast(topic: controlPlane.PeerTopic, listener: BroadcastListener): () => void {
    const listeners = this.broadcastListeners.get(topic) ?? new Set();
    this.broadcastListeners.set(topic, listeners);
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  override leadership(): controlPlane.Leadership {
    const state = this.replicaTask?.current;
    return {
      role: state === undefined ? controlPlane.ReplicaRole.None : ROLES[state.role],
      term: Math.max(state?.term ?? 0, this.knownLeader()?.term ?? 0),
      leaseRemainingMilliseconds: state === undefined ? 0 : this.leaseRemaining(state),
    };
  }

  override status(): controlPlane.ControlStatus {
    const { daemonId, zone } = this.options;
    const state = this.replicaTask?.current;
    return {
      ...this.leadership(),
      daemonId,
      zone,
      replicaId: state?.self.replicaId,
      leaderReplicaId: this.knownLeader()?.replicaId,
      commitIndex: state?.commitIndex ?? 0,
      voters:
        state === undefined ? [] : replica.committedVoters(state).map((voter) => voter.replicaId),
      revision: this.store.current.revision,
      peers: this.directory.status(),
    };
  }

  /** Bytes on the links to each peer by daemon id. */
  peerTraffic(): ReadonlyMap<string, wire.LinkTraffic> {
    return this.network.traffic();
  }

  override async ready(): Promise<void> {
    const { clock: time } = this.options;
    while (!this.isCurrent() && time.monotonic() - this.startedAt < READY_MILLISECONDS) {
      await time.sleep(READY_POLL_MILLISECONDS);
    }
  }

  override close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  /** Connects to the control daemons that the settings name now; call it when the settings have changed. */
  reloadSeeds(): Promise<void> {
    return this.rediscovery.dialSeeds();
  }

  private async closeAll(): Promise<void> {
    this.rediscovery.close();
    await this.supervisor?.close();
    await this.network.close();
    this.forwarder.leaderChanged(undefined);
  }

  private get replicaTask(): replicaTask.ReplicaTask | undefined {
    return this.supervisor?.task;
  }

  private createSupervisor(
    dataFolder: string,
    replicas: readonly string[],
  ): replicaSupervisor.ReplicaSupervisor {
    const { clock: time, random, parameters, mayBootstrap = true } = this.options;
    const fileSystem = this.options.fileSystem ?? new storage.NodeFileSystem();
    const { address } = this.network;
    return new replicaSupervisor.ReplicaSupervisor(
      {
        address,
        replicas,
        mayBootstrap,
        dataFolder,
        fileSystem,
        clock: time,
        random,
        parameters,
      },
      {
        send: (message) => this.sendReplicaMessage(message),
        onDelta: (delta) => this.announceIfNew(this.store.applyDelta(delta)),
        onSnapshot: (snapshot) => this.announceIfNew(this.store.applySnapshot(snapshot)),
        onRegister: (register) => this.applyRegister(register, this.knownLeader()?.address),
        onOrders: (announced) => this.orderRecorder.record(announced),
        onEntriesSkipped: () => this.orderRecorder.restart(),
        onLeaderChange: () => this.updateLeader(),
        leaderAddress: () => this.knownLeader()?.address,
      },
      // The settings may name none of the other voters any more.
      (opened) =>
        this.network.connect(replica.voters(opened.current).map((voter) => voter.address)),
    );
  }

  private attempt(
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<replicaTask.ProposalResult> {
    if (this.replicaTask?.isLeader === true) {
      return this.proposeHere(proposal, timeoutMilliseconds);
    }
    const leader = this.knownLeader();
    return leader === undefined || leader.address === this.network.address
      ? Promise.resolve(results.Err(controlPlane.ProposalFailure.NoLeader))
      : this.forwarder.forward(leader.address, proposal, timeoutMilliseconds);
  }

  private proposeHere(
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<replicaTask.ProposalResult> {
    const task = this.replicaTask;
    if (task === undefined) {
      return Promise.resolve(results.Err(controlPlane.ProposalFailure.NoLeader));
    }
    return new Promise((resolve) => {
      const timer = this.options.clock.setTimer(timeoutMilliseconds, () =>
        resolve(results.Err(controlPlane.ProposalFailure.Timeout)),
      );
      task.propose(proposal).then((result) => {
        timer.cancel();
        resolve(result);
      });
    });
  }

  private leaseRemaining(state: replica.ReplicaState): number {
    const suspendedUntil = this.suspensions.lastDetectedAt();
    return replica.leaseRemaining(state, this.options.clock.monotonic(), suspendedUntil);
  }

  /** The leader of the highest known term. */
  private knownLeader(): peerMessage.KnownLeader | undefined {
    const state = this.replicaTask?.current;
    const own = state?.leader === undefined ? undefined : { ...state.leader, term: state.term };
    const reported = this.reportedLeader;
    return own !== undefined && own.term >= (reported?.term ?? 0) ? own : reported;
  }

  private heartbeat(peer: wire.PeerIdentity): object {
    const hasReplica = this.replicaTask !== undefined;
    const voters = this.currentVoters();
    const age = Math.ceil(this.copyAgeMilliseconds());
    return {
      revision: this.store.current.revision,
      register: this.registerStore.current.sequence,
      leader: this.knownLeader(),
      sentAt: this.options.clock.now(),
      ...(Number.isFinite(age) ? { copyAge: age } : {}),
      ...(hasReplica
        ? { daemons: this.directory.size + 1, neighbours: this.neighboursOf(peer) }
        : {}),
      ...(voters.length === 0 ? {} : { voters }),
    };
  }

  /** The voters of this daemon's replica, or those that others have named. */
  private currentVoters(): readonly string[] {
    const state = this.replicaTask?.current;
    const own = state === undefined ? [] : replica.voters(state).map(({ address }) => address);
    return own.length === 0 ? this.reportedVoters : own;
  }

  private neighboursOf(peer: wire.PeerIdentity): readonly string[] {
    const { edition } = this.directory;
    if (edition !== this.neighbours.edition) {
      const voters = new Set(this.currentVoters());
      const daemons = this.directory.connected().filter(({ address }) => !voters.has(address));
      this.neighbours = { edition, selection: new neighbourSelection.Neighbours(daemons) };
    }
    return this.neighbours.selection.of(peer);
  }

  /**
   * Hundreds of daemons have links to each replica. Only a loss of the leader or of another replica has to be noticed
   * soon; news of the others arrive over several links.
   */
  private heartbeatInterval(peer: wire.PeerIdentity): number {
    const leader = this.knownLeader()?.address;
    const isLeaderLink = leader === this.network.address || leader === peer.address;
    const isReplicaLink = this.replicaTask !== undefined && this.network.isConfigured(peer.address);
    return leader === undefined || isLeaderLink || isReplicaLink
      ? wire.HEARTBEAT_INTERVAL_MILLISECONDS
      : RARE_HEARTBEAT_MILLISECONDS;
  }

  private sendReplicaMessage(message: replica.Message): void {
    const wrapped = { kind: peerMessage.PeerMessageKind.Replica, message };
    this.network.send(message.toAddress, wrapped as unknown as wire.WireMessage);
  }

  private receive(peer: wire.PeerIdentity, raw: wire.WireMessage, sentAfter: number): void {
    const message = peerMessage.peerMessageSchema.parse(raw);
    this.directory.recordContact(peer);
    switch (message.kind) {
      case peerMessage.PeerMessageKind.Heartbeat:
        this.recordCopyAge(peer, message, sentAfter);
        this.receiveHeartbeat(peer, message);
        break;
      case peerMessage.PeerMessageKind.Replica:
        this.replicaTask?.receive(message.message);
        break;
      case peerMessage.PeerMessageKind.Propose:
        this.answerProposal(peer, message.requestId, message.command, message.timeoutMilliseconds);
        break;
      case peerMessage.PeerMessageKind.ProposeResult:
        this.forwarder.settle(message.requestId, toResult(message.result, message.failure));
        break;
      case peerMessage.PeerMessageKind.ConfigurationRequest:
        this.sendConfiguration(peer, message.revision);
        break;
      case peerMessage.PeerMessageKind.ConfigurationDelta:
        this.announceIfNew(this.store.applyDelta(message));
        break;
      case peerMessage.PeerMessageKind.ConfigurationSnapshot:
        this.announceIfNew(this.store.applySnapshot(toSnapshot(message)));
        break;
      case peerMessage.PeerMessageKind.RegisterRequest:
        this.sendRegister(peer, message.sequence);
        break;
      case peerMessage.PeerMessageKind.RegisterCopy:
        this.applyRegister(registers.decodeRegister(message), peer.address);
        break;
      default:
        this.broadcastListeners
          .get(message.topic)
          ?.forEach((listener) => listener(message.payload, peer.daemonId));
    }
  }

  private receiveHeartbeat(peer: wire.PeerIdentity, message: peerMessage.Heartbeat): void {
    const { revision, leader, register = 0, sentAt, daemons } = message;
    if (daemons !== undefined) {
      this.replicaContact.recordHeartbeat(peer.address);
      this.daemonCount.record(peer.address, daemons);
    }
    if (sentAt !== undefined) {
      this.clockOffsets.record(peer.address, sentAt, this.options.clock.now());
    }
    this.directory.recordHeartbeat(peer, revision, register);
    this.learnAddresses(message);
    if (register > this.registerStore.current.sequence) {
      this.requestRegister(peer);
    }
    if (leader !== undefined && leader.term > (this.reportedLeader?.term ?? 0)) {
      this.reportedLeader = leader;
      this.updateLeader();
    }
    if (revision > this.store.current.revision) {
      this.requestConfiguration(peer);
    }
  }

  /** Connects to replicas that joined after the settings were written. */
  private learnAddresses({
    voters = [],
    leader,
    daemons,
    neighbours = [],
  }: peerMessage.Heartbeat): void {
    const isFromReplica = daemons !== undefined;
    if (voters.length > 0 && (isFromReplica || !this.replicaContact.isLinked)) {
      this.reportedVoters = voters;
    }
    this.network.connect(voters);
    // A daemon of an earlier release names no voters unless it has a replica.
    this.network.connect(leader === undefined ? [] : [leader.address]);
    this.knownDaemons.record(neighbours.filter((address) => address !== this.network.address));
  }

  private recordCopyAge(
    peer: wire.PeerIdentity,
    { revision, register = 0, leader, sentTick, copyAge: age }: peerMessage.Heartbeat,
    sentAfter: number,
  ): void {
    const position = { revision, registerSequence: register };
    const ageBefore = this.copyAgeMilliseconds();
    if (age !== undefined) {
      this.copyAge.confirm(position, sentAfter - age);
      if (this.copyAgeMilliseconds() < ageBefore) {
        this.rediscovery.recordHelp(peer.address);
      }
    } else if (sentTick === undefined && leader?.address === peer.address) {
      // A leader of an earlier release does not tell the age of its state; its heartbeats count as before.
      this.copyAge.confirm(position, this.options.clock.monotonic());
    }
    // Its own next heartbeat, which may be 2 s away, would show the tick that the peer has just sent.
    const isPeerOlder = (age ?? Infinity) > ageBefore + ANSWERED_AGE_MILLISECONDS;
    if (sentTick !== undefined && isPeerOlder) {
      this.network.sendHeartbeats((address) => address === peer.address);
    }
  }

  private requestConfiguration(peer: wire.PeerIdentity): void {
    const { clock: time, daemonId: ownDaemonId, zone: ownZone } = this.options;
    const now = time.monotonic();
    this.behindSince ??= now;
    const mayRequest = relay.mayRequest({
      ownDaemonId,
      ownZone,
      fromZone: peer.zone,
      peers: this.directory.status(),
      behindMilliseconds: now - this.behindSince,
    });
    // A daemon that starts does not wait for the relaying daemon of its zone.
    const isStarting = now - this.startedAt < READY_MILLISECONDS;
    if ((mayRequest || isStarting) && now - this.configurationRequestedAt >= REQUEST_MILLISECONDS) {
      this.configurationRequestedAt = now;
      this.network.send(peer.address, {
        kind: peerMessage.PeerMessageKind.ConfigurationRequest,
        revision: this.store.current.revision,
      } as unknown as wire.WireMessage);
    }
  }

  private requestRegister(peer: wire.PeerIdentity): void {
    const now = this.options.clock.monotonic();
    if (now - this.registerRequestedAt >= REQUEST_MILLISECONDS) {
      this.registerRequestedAt = now;
      const { sequence } = this.registerStore.current;
      const kind = peerMessage.PeerMessageKind.RegisterRequest;
      this.network.send(peer.address, { kind, sequence } as unknown as wire.WireMessage);
    }
  }

  private sendRegister(peer: wire.PeerIdentity, sequence: number): void {
    const { current } = this.registerStore;
    if (sequence >= current.sequence) {
      return;
    }
    const encoded = this.registerFrame();
    if (encoded === undefined || !this.network.sendFrame(peer.address, encoded)) {
      logger.warning('register could not be sent; the peer requests it again', {
        peer: peer.address,
      });
    }
  }

  /** All peers ask for a new register at once, and it may be large. */
  private registerFrame(): Buffer | undefined {
    const now = this.options.clock.monotonic();
    const { sequence } = this.registerStore.current;
    const cached = this.encodedRegister;
    if (cached?.sequence === sequence && now - cached.at < REGISTER_FRAME_MILLISECONDS) {
      return cached.frame;
    }
    const kind = peerMessage.PeerMessageKind.RegisterCopy;
    const message = { kind, ...this.registerStore.encode() } as unknown as wire.WireMessage;
    const encoded = wire.encodeFrame(message);
    if (encoded.err) {
      return undefined;
    }
    this.encodedRegister = { sequence, at: now, frame: encoded.val };
    return encoded.val;
  }

  private sendConfiguration(peer: wire.PeerIdentity, revision: number): void {
    const { current } = this.store;
    if (revision >= current.revision) {
      return;
    }
    const delta = this.store.changesSince(revision);
    const message =
      delta === undefined
        ? {
            kind: peerMessage.PeerMessageKind.ConfigurationSnapshot,
            revision: current.revision,
            documents: [...current.documents.values()],
            recentPublishes: current.recentPublishes ?? [],
          }
        : { kind: peerMessage.PeerMessageKind.ConfigurationDelta, ...delta };
    if (!this.network.send(peer.address, message as unknown as wire.WireMessage)) {
      logger.warning('configuration could not be sent; the peer requests it again', {
        peer: peer.address,
      });
    }
  }

  private async answerProposal(
    peer: wire.PeerIdentity,
    requestId: string,
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<void> {
    const outcome = await this.proposeHere(proposal, timeoutMilliseconds);
    const answer = outcome.ok ? { result: outcome.val } : { failure: outcome.val };
    this.network.send(peer.address, {
      kind: peerMessage.PeerMessageKind.ProposeResult,
      requestId,
      ...answer,
    } as unknown as wire.WireMessage);
  }

  /** Applies a register whose times are from the clock of the daemon at this address. */
  private applyRegister(register: registers.Register, clockAddress: string | undefined): void {
    const offset = this.clockOffsets.offsetTo(clockAddress);
    this.announceIfNew(this.registerStore.applyIfNewer(register, offset));
  }

  /** Announces a new revision or register at once to the peers that have not reported it themselves. */
  private announceIfNew(isNew: boolean): void {
    if (isNew) {
      this.copyAge.advance(this.position());
      this.configurationRequestedAt = Number.NEGATIVE_INFINITY;
      this.registerRequestedAt = Number.NEGATIVE_INFINITY;
      this.behindSince = undefined;
      const { revision, registerSequence } = this.position();
      this.network.sendHeartbeats((address) =>
        this.directory.isBehind(address, revision, registerSequence),
      );
    }
  }

  private contactFields(): logging.LogFields {
    const age = this.copyAgeMilliseconds();
    return {
      copyAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : undefined,
      revision: this.store.current.revision,
      routingVersion: this.registerStore.current.routing?.version,
      leader: this.knownLeader()?.address,
      dialed: this.network.dialedAddresses().join(' '),
    };
  }

  private position(): copyAge.CopyPosition {
    return {
      revision: this.store.current.revision,
      registerSequence: this.registerStore.current.sequence,
    };
  }

  private updateLeader(): void {
    const address = this.knownLeader()?.address;
    if (address !== this.leaderAddress) {
      this.leaderAddress = address;
      this.forwarder.leaderChanged(address);
      this.network.sendHeartbeats();
    }
  }

  private peerReady(peer: wire.PeerIdentity): void {
    this.directory.recordConnected(peer);
    this.knownDaemons.record([peer.address]);
  }

  private peerLost(peer: wire.PeerIdentity): void {
    this.directory.recordDisconnected(peer);
    this.replicaContact.recordLost(peer.address);
    this.clockOffsets.forget(peer.address);
    this.forwarder.peerLost(peer.address);
  }

  /** Whether a connection to every peer was tried and no reachable peer has a higher revision or register. */
  private isCurrent(): boolean {
    return (
      this.network.everyPeerTried &&
      this.directory.isUpToDate(this.store.current.revision, this.registerStore.current.sequence)
    );
  }
}

const logger = new logging.Logger('control');

// A leader that does not answer within this time is suspended or partitioned; meanwhile another one is
// elected.
const ATTEMPT_MILLISECONDS = 1_000;

const RETRY_MILLISECONDS = 40;

/** A daemon whose copy is confirmed directly lags behind a leader by less than this. */
const ANSWERED_AGE_MILLISECONDS = 2_000;

const RARE_HEARTBEAT_MILLISECONDS = 2 * wire.HEARTBEAT_INTERVAL_MILLISECONDS;

// A peer may not answer a request; after this time the next one may be sent, to any peer.
const REQUEST_MILLISECONDS = 250;

// The times in a register are relative to its sending.
const REGISTER_FRAME_MILLISECONDS = 50;

// A restarted router has to serve within 1 s; half of it may be spent on the configuration.
const READY_MILLISECONDS = 500;

const READY_POLL_MILLISECONDS = 10;

const ROLES: Record<replica.Role, controlPlane.ReplicaRole> = {
  [replica.Role.Learner]: controlPlane.ReplicaRole.Learner,
  [replica.Role.Follower]: controlPlane.ReplicaRole.Follower,
  [replica.Role.PreCandidate]: controlPlane.ReplicaRole.Candidate,
  [replica.Role.Candidate]: controlPlane.ReplicaRole.Candidate,
  [replica.Role.Leader]: controlPlane.ReplicaRole.Leader,
  [replica.Role.Stopped]: controlPlane.ReplicaRole.None,
};

function topicMessage(topic: controlPlane.PeerTopic, payload: unknown): wire.WireMessage {
  return { kind: peerMessage.PeerMessageKind.Broadcast, topic, payload } as wire.WireMessage;
}

function toResult(
  result: command.CommandResult | undefined,
  failure: controlPlane.ProposalFailure | undefined,
): replicaTask.ProposalResult {
  return result === undefined
    ? results.Err(failure ?? controlPlane.ProposalFailure.Timeout)
    : results.Ok(result);
}

function toSnapshot(message: {
  readonly revision: number;
  readonly documents: readonly configuration.ConfigurationDocument[];
  readonly recentPublishes?: readonly configuration.PublishRecord[];
}): configuration.ConfigurationSnapshot {
  const { revision, recentPublishes } = message;
  const documents = new Map(
    message.documents.map((document) => [configuration.documentKey(document), document]),
  );
  return { revision, documents, recentPublishes };
}
