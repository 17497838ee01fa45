import * as zod from 'zod';
import * as results from 'ts-results';
import * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as machineChanges from './machine-changes';

/** What the list works with. */
export interface SharedListPorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'status' | 'send' | 'broadcast' | 'onBroadcast'
  >;
  /** The platform's list itself. */
  readonly source: backend.MachineList;
  readonly time: clock.Clock;
  /** Adds what the leader knows beyond the list, such as orders in execution. */
  readonly annotate?: (record: backend.MachineRecord) => backend.MachineRecord;
}

type ListResult = results.Result<readonly backend.MachineRecord[], verdict.RequestFailure>;

/**
 * The platform's list, read by one daemon for all: the control leader reads it and sends its peers what
 * changed. A daemon that lacks the edition before asks the leader for the whole list; one that hears nothing
 * for a while reads the list itself.
 */
export class SharedMachineList extends backend.MachineList {
  private machines: readonly backend.MachineRecord[] | undefined;

  /** Names the copy that this daemon has, across leaders. */
  private edition = '';

  /** Starts from the clock, so that a restarted leader does not repeat an edition. */
  private editions: number;

  /** What this daemon told its peers last while it led, and the name of that edition. */
  private told: readonly backend.MachineRecord[] | undefined;

  private toldEdition = '';

  private heardAt = Number.NEGATIVE_INFINITY;

  /** Term of the leader that was heard last. */
  private heardTerm = 0;

  private readAt = Number.NEGATIVE_INFINITY;

  private toldAt = Number.NEGATIVE_INFINITY;

  private askedAt = Number.NEGATIVE_INFINITY;

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: SharedListPorts) {
    super();
    this.editions = ports.time.now();
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Machines, (payload, from) =>
      this.hear(payload, from),
    );
  }

  override async read(): Promise<ListResult> {
    const isLeader = this.ports.plane.leadership().role === control.ReplicaRole.Leader;
    const now = this.ports.time.monotonic();
    if (isLeader) {
      return this.readAndTell(now);
    }
    this.told = undefined;
    return this.isFresh(now) && this.machines !== undefined
      ? new results.Ok(this.machines)
      : this.readSource(now, ALONE_MILLISECONDS);
  }

  close(): void {
    this.unsubscribe();
  }

  private isFresh(now: number): boolean {
    return now - this.heardAt < SILENCE_MILLISECONDS;
  }

  private async readAndTell(now: number): Promise<ListResult> {
    const result = await this.readSource(now, LEADER_MILLISECONDS);
    if (result.err) {
      return result;
    }
    const { annotate = (record) => record } = this.ports;
    const annotated = result.val.map(annotate);
    return new results.Ok(this.tell(annotated, now));
  }

  /** Reads the platform's list, but not more often than each `interval`. */
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

  /** Tells the peers what has changed; returns the list that they have, the same object until it changes. */
  private tell(
    machines: readonly backend.MachineRecord[],
    now: number,
  ): readonly backend.MachineRecord[] {
    const before = this.told;
    const changes = machineChanges.changesBetween(before ?? [], machines);
    const isChanged = changes.changed.length > 0 || changes.removed.length > 0;
    if (before !== undefined && !isChanged) {
      if (now - this.toldAt >= REPEAT_MILLISECONDS) {
        this.broadcast({ edition: this.toldEdition }, now);
      }
      return before;
    }
    const base = this.toldEdition;
    this.editions += 1;
    const edition = `${this.ports.plane.status().daemonId}/${this.editions}`;
    this.told = machines;
    this.toldEdition = edition;
    this.broadcast(before === undefined ? { edition, machines } : { edition, base, changes }, now);
    return machines;
  }

  private broadcast(payload: object, now: number): void {
    const { term } = this.ports.plane.status();
    this.toldAt = now;
    this.ports.plane.broadcast(control.PeerTopic.Machines, { ...payload, term });
  }

  private hear(payload: unknown, from: string): void {
    const parsed = messageSchema.safeParse(payload);
    if (!parsed.success) {
      logger.warning('peer sent a malformed list of VMs');
      return;
    }
    const { edition, machines, base, changes, wanted, term = this.heardTerm } = parsed.data;
    if (wanted === true) {
      this.sendWhole(from);
      return;
    }
    // A leader that was suspended goes on telling its old list until it hears of its successor.
    const isReplaced = term < this.heardTerm && this.isFresh(this.ports.time.monotonic());
    if (isReplaced) {
      return;
    }
    this.heardTerm = term;
    if (machines !== undefined) {
      this.take(machines, edition);
    } else if (changes !== undefined && base === this.edition && this.machines !== undefined) {
      this.take(machineChanges.applyChanges(this.machines, changes), edition);
    } else if (edition === this.edition) {
      this.heardAt = this.ports.time.monotonic();
    } else {
      this.askForWhole(from);
    }
  }

  private take(machines: readonly backend.MachineRecord[], edition: string): void {
    this.machines = machines;
    this.edition = edition;
    this.heardAt = this.ports.time.monotonic();
  }

  private sendWhole(to: string): void {
    if (this.told !== undefined) {
      const { term } = this.ports.plane.status();
      const payload = { edition: this.toldEdition, machines: this.told, term };
      this.ports.plane.send(to, control.PeerTopic.Machines, payload);
    }
  }

  private askForWhole(from: string): void {
    const now = this.ports.time.monotonic();
    if (now - this.askedAt >= ASK_MILLISECONDS) {
      this.askedAt = now;
      this.ports.plane.send(from, control.PeerTopic.Machines, { edition: '', wanted: true });
    }
  }
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
  loading: zod.literal(true).optional(),
});

const messageSchema = zod.object({
  edition: zod.string(),
  /** The whole list. */
  machines: zod.array(recordSchema).optional(),
  /** The edition that the changes apply to. */
  base: zod.string().optional(),
  changes: zod
    .object({ changed: zod.array(recordSchema), removed: zod.array(zod.string()) })
    .optional(),
  /** Asks the leader for the whole list. */
  wanted: zod.boolean().optional(),
  /** Term of the sender, which leads; absent from daemons of earlier releases. */
  term: zod.number().optional(),
});

const NOT_READ = verdict.failure(
  verdict.FailureReason.NoBackendServer,
  verdict.Verdict.NotRun,
  'The list of VMs could not be read yet.',
);

// A server that leaves must get its last request within 3 s of the list showing it.
const LEADER_MILLISECONDS = 400;

// Three missed messages of the leader; a new leader is found in about 1 s.
const SILENCE_MILLISECONDS = 2_500;

const ALONE_MILLISECONDS = 1_000;

const REPEAT_MILLISECONDS = 800;

// Two ways between regions, and the turn of a busy leader.
const ASK_MILLISECONDS = 200;
