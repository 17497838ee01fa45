import * as results from 'ts-results';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as logging from '../logging';
import * as replica from '../replica';
import * as storage from '../storage';
import * as wire from '../wire';
import * as command from './command';
import * as controlPlane from './control-plane';
import type * as registers from './register';
import * as stateMachine from './state-machine';

/** Options of a replica task. */
export interface ReplicaTaskOptions {
  readonly address: string;
  /** Addresses of the initial replicas. */
  readonly replicas: readonly string[];
  /** False when a group of replicas exists already. */
  readonly mayBootstrap: boolean;
  readonly dataFolder: string;
  readonly fileSystem: storage.FileSystem;
  readonly clock: clock.Clock;
  readonly random: clock.RandomSource;
  readonly parameters?: Partial<replica.Parameters>;
  /** Index up to which an earlier replica of this daemon has reported the entries to it; by default 0. */
  readonly reportedIndex?: number;
}

/** Callbacks of a replica task to its daemon. */
export interface ReplicaTaskHandlers {
  readonly send: (message: replica.Message) => void;
  readonly onDelta: (delta: configuration.ConfigurationDelta) => void;
  readonly onSnapshot: (snapshot: configuration.ConfigurationSnapshot) => void;
  readonly onRegister: (register: registers.Register) => void;
  readonly onOrders: (orders: readonly command.AnnouncedOrder[]) => void;
  /** A snapshot replaced entries that were not reported to this daemon. */
  readonly onEntriesSkipped: () => void;
  readonly onLeaderChange: () => void;
  /** Address of the leader that the daemon knows of, also from other daemons. */
  readonly leaderAddress: () => string | undefined;
}

/** The outcome of one attempt to write a command. */
export type ProposalResult = results.Result<command.CommandResult, controlPlane.ProposalFailure>;

interface PendingProposal {
  readonly proposalId: string;
  readonly data: Uint8Array;
  readonly resolve: (result: ProposalResult) => void;
  term?: number;
}

const TICK_MILLISECONDS = 25;

const MAXIMUM_PROPOSALS_PER_WRITE = 256;

// Bounds the memory in use while a disk hangs: a message can have 1 MiB.
const MAXIMUM_WAITING_EVENTS = 200;

/**
 * Runs one replica: passes events to the replica core (`replica.update`) one at a time, carries out its effects in order, and applies
 * committed entries to the control state.
 */
export class ReplicaTask {
  private state: replica.ReplicaState;

  private control = stateMachine.EMPTY_CONTROL_STATE;

  private readonly events: replica.ReplicaEvent[] = [];

  private readonly proposals: PendingProposal[] = [];

  /** Accepted proposals by log index. */
  private readonly accepted = new Map<number, PendingProposal>();

  /** Proposals that the replica core has neither accepted nor rejected yet, by their ids. */
  private submitted = new Map<string, PendingProposal>();

  private appliedIndex = 0;

  private reported: number;

  private bytesSinceSnapshot = 0;

  private isTickQueued = false;

  /** Whether the daemon is told the control state; see `ReplicaState.isCaughtUp`. */
  private isShown = false;

  private timer: clock.Timer | undefined;

  private wake: (() => void) | undefined;

  private closed = false;

  private readonly running: Promise<void>;

  private nextProposal = 0;

  private constructor(
    private readonly options: ReplicaTaskOptions,
    private readonly handlers: ReplicaTaskHandlers,
    private readonly disk: storage.Storage,
    stored: storage.StoredReplica,
  ) {
    const { clock: time, random, address, replicas, mayBootstrap, parameters } = options;
    this.reported = options.reportedIndex ?? 0;
    this.state = replica.restore({
      self: { replicaId: stored.replicaId, address },
      replicas,
      mayBootstrap,
      durable: stored.durable,
      now: time.monotonic(),
      random: random.uniform(),
      parameters,
    });
    if (stored.durable.snapshot !== undefined) {
      this.restoreSnapshot(stored.durable.snapshot);
    }
    this.tick();
    this.running = this.run();
  }

  /** Opens the data folder and starts the replica. */
  static async open(
    options: ReplicaTaskOptions,
    handlers: ReplicaTaskHandlers,
  ): Promise<results.Result<ReplicaTask, storage.StorageFailure>> {
    const disk = new storage.Storage(options.fileSystem, options.dataFolder);
    const stored = await disk.open();
    if (stored.err) {
      return stored;
    }
    if (stored.val.tornBytes > 0) {
      logger.warning('dropped an incomplete record at the end of the log file', {
        bytes: stored.val.tornBytes,
      });
    }
    return results.Ok(new ReplicaTask(options, handlers, disk, stored.val));
  }

  get current(): replica.ReplicaState {
    return this.state;
  }

  get isLeader(): boolean {
    return this.state.role === replica.Role.Leader;
  }

  /** Whether the storage failed; the replica neither votes nor acknowledges until it is opened again. */
  get isStopped(): boolean {
    return this.state.role === replica.Role.Stopped;
  }

  /** Whether all committed entries are applied; one that is acknowledged has been applied before. */
  get hasAppliedCommitted(): boolean {
    return this.isShown && this.appliedIndex >= this.state.commitIndex;
  }

  /** The control state after the applied entries. */
  get controlState(): stateMachine.ControlState {
    return this.control;
  }

  /** Index up to which the daemon has received the entries, or the news that they were skipped. */
  get reportedIndex(): number {
    return this.reported;
  }

  /** Queues a message of another replica, or drops it when the queue is full; its sender repeats it. */
  receive(message: replica.Message): void {
    if (this.events.length < MAXIMUM_WAITING_EVENTS) {
      this.enqueue({ kind: replica.EventKind.Receive, message, ...this.context() });
    }
  }

  /** Writes a command if this replica is the leader. `Err` leaves open whether it will be committed. */
  propose(proposal: command.Command): Promise<ProposalResult> {
    if (!this.isLeader || this.closed) {
      return Promise.resolve(results.Err(controlPlane.ProposalFailure.NoLeader));
    }
    this.nextProposal += 1;
    const proposalId = String(this.nextProposal);
    return new Promise((resolve) => {
      this.proposals.push({ proposalId, data: wire.encode(proposal), resolve });
      this.wake?.();
    });
  }

  /** Transfers the leadership, then stops and closes the data folder. */
  async close(): Promise<void> {
    this.enqueue({ kind: replica.EventKind.Resign, ...this.context() });
    this.closed = true;
    this.timer?.cancel();
    this.wake?.();
    try {
      await this.running;
    } finally {
      this.failPending();
      await this.disk.close();
    }
  }

  private tick(): void {
    this.timer = this.options.clock.setTimer(TICK_MILLISECONDS, () => this.tick());
    if (!this.isTickQueued) {
      this.isTickQueued = true;
      const leaderAddress = this.handlers.leaderAddress();
      this.enqueue({ kind: replica.EventKind.Tick, leaderAddress, ...this.context() });
    }
  }

  private context(): replica.EventContext {
    const { clock: time, random } = this.options;
    return { now: time.monotonic(), wallClock: time.now(), random: random.uniform() };
  }

  private enqueue(event: replica.ReplicaEvent): void {
    this.events.push(event);
    this.wake?.();
  }

  private async run(): Promise<void> {
    for (let event = this.next(); event !== undefined || !this.closed; event = this.next()) {
      if (event === undefined) {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
      } else {
        await this.processSafely(event);
      }
    }
  }

  /**
   * Proposals come after all other events: the answers of the other replicas commit what was proposed before, and a
   * disk that is slower than the proposals come would hold them back for good.
   */
  private next(): replica.ReplicaEvent | undefined {
    const event = this.events.shift() ?? this.nextProposals();
    if (event?.kind === replica.EventKind.Tick) {
      this.isTickQueued = false;
    }
    // What counts is the time at which an event is handled, not when it was queued behind a slow write.
    return event === undefined ? undefined : { ...event, ...this.context() };
  }

  /** Waiting proposals share one event, and so one write to the disk. */
  private nextProposals(): replica.ReplicaEvent | undefined {
    const waiting = this.proposals.splice(0, MAXIMUM_PROPOSALS_PER_WRITE);
    if (waiting.length === 0) {
      return undefined;
    }
    this.submitted = new Map(waiting.map((proposal) => [proposal.proposalId, proposal]));
    const proposals = waiting.map(({ proposalId, data }) => ({ proposalId, data }));
    return { kind: replica.EventKind.Propose, proposals, ...this.context() };
  }

  /** An error in the replica core or the state machine stops the replica, not the daemon. */
  private async processSafely(event: replica.ReplicaEvent): Promise<void> {
    try {
      await this.process(event);
    } catch (error) {
      logger.error('internal error in the replica; it stops voting, and the daemon continues', {
        reason: (error as Error).message,
      });
      await this.process({ kind: replica.EventKind.StorageFailed, ...this.context() });
    }
  }

  private async process(event: replica.ReplicaEvent): Promise<void> {
    const { startState, state, effects } = replica.update(this.state, event);
    this.state = state;
    for (const effect of effects) {
      if (!(await this.carryOut(effect))) {
        await this.process({ kind: replica.EventKind.StorageFailed, ...this.context() });
        return;
      }
    }
    this.showWhenCaughtUp();
    const wasLeader = startState.role === replica.Role.Leader;
    if (wasLeader && !this.isLeader) {
      this.failPending();
    }
    const isSameLeader = startState.leader?.replicaId === state.leader?.replicaId;
    if (!isSameLeader || startState.term !== state.term) {
      this.handlers.onLeaderChange();
    }
  }

  /** An older state of the disk is not shown as if it were the newest. */
  private showWhenCaughtUp(): void {
    if (!this.isShown && this.state.isCaughtUp) {
      this.isShown = true;
      this.show();
    }
  }

  private show(): void {
    this.handlers.onSnapshot(this.control.revisions.snapshot);
    this.handlers.onRegister(this.control.register);
  }

  /** Returns false when the disk failed; the effects after that must not be carried out. */
  private async carryOut(effect: replica.ReplicaEffect): Promise<boolean> {
    switch (effect.kind) {
      case replica.EffectKind.Persist:
        return this.persist(effect);
      case replica.EffectKind.Send:
        this.handlers.send(effect.message);
        return true;
      case replica.EffectKind.Restore:
        this.restoreSnapshot(effect.snapshot);
        return true;
      case replica.EffectKind.Apply:
        effect.entries.forEach((entry) => this.apply(entry));
        this.takeSnapshotWhenDue();
        return true;
      case replica.EffectKind.Accept:
        this.accept(effect);
        return true;
      case replica.EffectKind.Reject:
        this.reject(effect.proposalId);
        return true;
      default:
        logger.information(effect.notice, { term: effect.term, detail: effect.detail });
        return true;
    }
  }

  private async persist(effect: replica.Persist): Promise<boolean> {
    const written = await this.disk.persist(effect);
    if (written.err) {
      logger.error(
        'write to the data folder failed; the replica stops voting, and the daemon continues',
        {
          reason: written.val.message,
        },
      );
    }
    return written.ok;
  }

  private accept(effect: replica.Accept): void {
    const pending = this.submitted.get(effect.proposalId);
    if (pending !== undefined) {
      pending.term = effect.term;
      this.accepted.set(effect.index, pending);
      this.submitted.delete(effect.proposalId);
    }
  }

  private reject(proposalId: string): void {
    const pending = this.submitted.get(proposalId);
    this.submitted.delete(proposalId);
    pending?.resolve(results.Err(controlPlane.ProposalFailure.NoLeader));
  }

  private apply(entry: replica.Entry): void {
    this.appliedIndex = entry.index;
    this.bytesSinceSnapshot += entry.data?.length ?? 0;
    const result = this.applyCommand(entry);
    this.reported = Math.max(this.reported, entry.index);
    const pending = this.accepted.get(entry.index);
    this.accepted.delete(entry.index);
    const isProposedEntry = pending?.term === entry.term && result !== undefined;
    pending?.resolve(
      isProposedEntry ? results.Ok(result) : results.Err(controlPlane.ProposalFailure.Timeout),
    );
  }

  private applyCommand(entry: replica.Entry): command.CommandResult | undefined {
    if (entry.data === undefined) {
      return undefined;
    }
    const decoded = wire.decode(entry.data) as command.Command;
    const applied = stateMachine.apply(this.control, decoded, entry.timestamp);
    const isRegisterChanged = applied.state.register !== this.control.register;
    this.control = applied.state;
    if (isRegisterChanged && this.isShown) {
      this.handlers.onRegister(this.control.register);
    }
    const isReported = entry.index <= this.reported;
    if (decoded.kind === command.CommandKind.RecordOrders && !isReported) {
      this.handlers.onOrders(decoded.orders);
    }
    if (applied.delta !== undefined && this.isShown) {
      this.handlers.onDelta(applied.delta);
      this.handlers.onSnapshot(this.control.revisions.snapshot);
    }
    return applied.result;
  }

  private restoreSnapshot(snapshot: replica.Snapshot): void {
    this.control = stateMachine.decodeState(snapshot.data);
    this.appliedIndex = snapshot.index;
    this.bytesSinceSnapshot = 0;
    if (this.isShown) {
      this.show();
    }
    if (snapshot.index > this.reported) {
      this.reported = snapshot.index;
      this.handlers.onEntriesSkipped();
    }
  }

  /**
   * The log may grow to the size of the last snapshot, so that snapshots cost no more writes than the log.
   */
  private takeSnapshotWhenDue(): void {
    const { snapshot } = this.state;
    const entries = this.appliedIndex - (snapshot?.index ?? 0);
    const hasManyEntries = entries >= SNAPSHOT_ENTRIES;
    const isLargerThanSnapshot = this.bytesSinceSnapshot >= (snapshot?.data.length ?? 0);
    const isLarge = this.bytesSinceSnapshot >= SNAPSHOT_BYTES;
    if (!isLarge && !(hasManyEntries && isLargerThanSnapshot)) {
      return;
    }
    this.bytesSinceSnapshot = 0;
    this.enqueue({
      kind: replica.EventKind.SnapshotTaken,
      index: this.appliedIndex,
      data: stateMachine.encodeState(this.control),
      ...this.context(),
    });
  }

  private failPending(): void {
    const pending = [...this.accepted.values(), ...this.submitted.values(), ...this.proposals];
    this.accepted.clear();
    this.submitted.clear();
    this.proposals.length = 0;
    pending.forEach(({ resolve }) => resolve(results.Err(controlPlane.ProposalFailure.Timeout)));
  }
}

const logger = new logging.Logger('replica');

// A restart replays at most this many entries, or as many bytes as the snapshot has.
const SNAPSHOT_ENTRIES = 500;

// Routing documents can have 100 KB each; a disk of 128 MB has to hold the log and two snapshots.
const SNAPSHOT_BYTES = 8 * 1_024 * 1_024;
