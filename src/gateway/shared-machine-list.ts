import * as zod from 'zod';
import * as results from 'ts-results';
import * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as machineChanges from './machine-changes';

/** Dependencies of the shared list. */
export interface SharedListPorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'status' | 'send' | 'broadcast' | 'onBroadcast'
  >;
  /** Reads the list from the platform. */
  readonly source: backend.MachineList;
  readonly time: clock.Clock;
  /** Adds information that only the leader has, such as whether an engine executes an order. */
  readonly annotate?: (record: backend.MachineRecord) => backend.MachineRecord;
}

type ListResult = results.Result<readonly backend.MachineRecord[], verdict.RequestFailure>;

/**
 * The platform's list, read by one daemon for all: the control leader reads it and broadcasts the changes. A daemon
 * without the preceding edition requests the full list from the leader; a daemon that receives nothing for a while
 * reads the list from the platform itself.
 */
export class SharedMachineList extends backend.MachineList {
  /** The newest list, from the leader or read by this daemon itself. */
  private machines: readonly backend.MachineRecord[] | undefined;

  /** The leader's list, to which its changes apply: a list that this daemon reads itself lacks what the leader adds. */
  private copy: readonly backend.MachineRecord[] | undefined;

  /** Edition of the copy; unique across leaders. */
  private edition = '';

  /** Number of the last edition; starts from the clock, so that a restarted leader does not reuse one. */
  private editionNumber: number;

  /** The list that this daemon last broadcast as leader. */
  private broadcastMachines: readonly backend.MachineRecord[] | undefined;

  private broadcastEdition = '';

  private lastContactAt = Number.NEGATIVE_INFINITY;

  /** Term of the leader whose message was applied last. */
  private leaderTerm = 0;

  private readAt = Number.NEGATIVE_INFINITY;

  private broadcastAt = Number.NEGATIVE_INFINITY;

  private requestedAt = Number.NEGATIVE_INFINITY;

  private readonly listeners = new Set<() => void>();

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: SharedListPorts) {
    super();
    this.editionNumber = ports.time.now();
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Machines, (payload, from) =>
      this.receive(payload, from),
    );
  }

  override async read(): Promise<ListResult> {
    const isLeader = this.ports.plane.leadership().role === control.ReplicaRole.Leader;
    const now = this.ports.time.monotonic();
    if (isLeader) {
      return this.readAndBroadcast(now);
    }
    this.broadcastMachines = undefined;
    return this.isFresh(now) && this.machines !== undefined
      ? new results.Ok(this.machines)
      : this.readSource(now, FALLBACK_READ_INTERVAL_MILLISECONDS);
  }

  /** The listener is called on each change that the leader has sent. */
  override onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  close(): void {
    this.unsubscribe();
    this.listeners.clear();
  }

  private isFresh(now: number): boolean {
    return now - this.lastContactAt < CONTACT_TIMEOUT_MILLISECONDS;
  }

  private async readAndBroadcast(now: number): Promise<ListResult> {
    const result = await this.readSource(now, LEADER_READ_INTERVAL_MILLISECONDS);
    if (result.err) {
      return result;
    }
    const { annotate = (record) => record } = this.ports;
    const annotated = result.val.map(annotate);
    return new results.Ok(this.broadcastChanges(annotated, now));
  }

  /** Reads the list from the platform, at most once per `interval` in milliseconds. */
  private async readSource(now: number, interval: number): Promise<ListResult> {
    if (now - this.readAt < interval) {
      return this.machines === undefined
        ? new results.Err(NOT_READ)
        : new results.Ok(this.machines);
    }
    this.readAt = now;
    const result = await this.ports.source.read();
    if (result.ok) {
      this.machines = result.val;
    }
    return result.ok && this.machines !== undefined ? new results.Ok(this.machines) : result;
  }

  /** Broadcasts the changes; returns the list that the peers have now, the same object until it changes. */
  private broadcastChanges(
    machines: readonly backend.MachineRecord[],
    now: number,
  ): readonly backend.MachineRecord[] {
    const before = this.broadcastMachines;
    const changes = machineChanges.changesBetween(before ?? [], machines);
    const isChanged = changes.changed.length > 0 || changes.removed.length > 0;
    if (before !== undefined && !isChanged) {
      if (now - this.broadcastAt >= REPEAT_INTERVAL_MILLISECONDS) {
        this.broadcast({ edition: this.broadcastEdition }, now);
      }
      return before;
    }
    const base = this.broadcastEdition;
    this.editionNumber += 1;
    const edition = `${this.ports.plane.status().daemonId}/${this.editionNumber}`;
    this.broadcastMachines = machines;
    this.broadcastEdition = edition;
    this.broadcast(before === undefined ? { edition, machines } : { edition, base, changes }, now);
    return machines;
  }

  private broadcast(payload: object, now: number): void {
    const { term } = this.ports.plane.status();
    this.broadcastAt = now;
    this.ports.plane.broadcast(control.PeerTopic.Machines, { ...payload, term });
  }

  private receive(payload: unknown, from: string): void {
    const parsed = messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('list of VMs from a peer is malformed; it is ignored');
      return;
    }
    const { edition, machines, base, changes, wanted, term = this.leaderTerm } = parsed.data;
    if (wanted === true) {
      this.sendFullList(from);
      return;
    }
    // A leader that was suspended continues to broadcast its old list until it learns of its successor.
    const isOfFormerLeader = term < this.leaderTerm && this.isFresh(this.ports.time.monotonic());
    if (isOfFormerLeader) {
      return;
    }
    this.leaderTerm = term;
    if (machines !== undefined) {
      this.useCopy(machines.map(withoutEmptyVersion), edition);
    } else if (changes !== undefined && base === this.edition && this.copy !== undefined) {
      const changed = machineChanges.applyChanges(this.copy, changes);
      this.useCopy(changed.map(withoutEmptyVersion), edition);
    } else if (edition === this.edition && this.copy !== undefined) {
      this.useCopy(this.copy, edition);
    } else {
      this.requestFullList(from);
    }
  }

  private useCopy(copy: readonly backend.MachineRecord[], edition: string): void {
    const isChanged = copy !== this.machines;
    this.machines = copy;
    this.copy = copy;
    this.edition = edition;
    this.lastContactAt = this.ports.time.monotonic();
    if (isChanged) {
      this.listeners.forEach((listener) => listener());
    }
  }

  private sendFullList(to: string): void {
    if (this.broadcastMachines !== undefined) {
      const { term } = this.ports.plane.status();
      const payload = { edition: this.broadcastEdition, machines: this.broadcastMachines, term };
      this.ports.plane.send(to, control.PeerTopic.Machines, payload);
    }
  }

  private requestFullList(from: string): void {
    const now = this.ports.time.monotonic();
    if (now - this.requestedAt >= REQUEST_INTERVAL_MILLISECONDS) {
      this.requestedAt = now;
      this.ports.plane.send(from, control.PeerTopic.Machines, { edition: '', wanted: true });
    }
  }
}

/** Leaders of earlier releases send an empty version for unknown weights. */
function withoutEmptyVersion(machine: backend.MachineRecord): backend.MachineRecord {
  return machine.weightsVersion === '' ? { ...machine, weightsVersion: undefined } : machine;
}

const logger = new logging.Logger('machines');

const recordSchema = zod.object({
  id: zod.string(),
  host: zod.string(),
  port: zod.int(),
  zone: zod.string(),
  region: zod.string(),
  service: zod.string(),
  kind: zod.enum(backend.BackendKind),
  phase: zod.enum(backend.MachinePhase),
  incarnation: zod.string().optional(),
  weightsVersion: zod.string().optional(),
  softwareVersion: zod.string().optional(),
  loading: zod.literal(true).optional(),
});

const messageSchema = zod.object({
  edition: zod.string(),
  /** The full list. */
  machines: zod.array(recordSchema).optional(),
  /** The edition that the changes apply to. */
  base: zod.string().optional(),
  changes: zod
    .object({ changed: zod.array(recordSchema), removed: zod.array(zod.string()) })
    .optional(),
  /** Requests the full list from the leader. */
  wanted: zod.boolean().optional(),
  /** Term in which the sender leads; daemons of earlier releases do not send it. */
  term: zod.number().optional(),
});

const NOT_READ = verdict.failure(
  verdict.FailureReason.NoBackendServer,
  verdict.Verdict.NotRun,
  'The list of VMs could not be read yet.',
);

// A leaving server may get requests for at most 3 s after it is marked in the list.
const LEADER_READ_INTERVAL_MILLISECONDS = 400;

// Three missed messages of the leader; a new leader is elected in about 1 s.
const CONTACT_TIMEOUT_MILLISECONDS = 2_500;

const FALLBACK_READ_INTERVAL_MILLISECONDS = 1_000;

const REPEAT_INTERVAL_MILLISECONDS = 800;

// A round trip between regions, and the delay of a busy leader.
const REQUEST_INTERVAL_MILLISECONDS = 200;
