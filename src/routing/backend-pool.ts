import type * as results from 'ts-results';
import * as backend from '../backend';
import type * as verdict from '../verdict';
import type * as backendFactory from './backend-factory';

/** Use of one client, which stays open until `release` is called. */
export interface BackendLease<Client> {
  readonly machine: backend.MachineRecord;
  readonly client: Client;
  release(): void;
}

/** Client of a backend server of any kind. */
export type BackendClient = backend.ModelEngine | backend.PlainService | backend.RelayServer;

/** The runs of the processes of all servers. */
export interface ServerRuns {
  /** The run of a server's process that is known now; absent if none is. */
  incarnationOf(serverId: string): string | undefined;
  answeredAsLeaving(answer: backend.LeavingAnswer): void;
}

interface PoolEntry {
  /** The latest record of the server on the platform's list. */
  machine: backend.MachineRecord;
  readonly client: BackendClient;
  uses: number;
  isRetired: boolean;
}

/**
 * Owns one client for each server on the platform's list. A server that disappears from the list keeps
 * its client until its running requests have ended, so that a planned stop interrupts no request.
 */
export class BackendPool {
  private entries = new Map<string, PoolEntry>();

  /** Where the clients learn of and report the runs of their servers. */
  private runs: ServerRuns = UNKNOWN_RUNS;

  constructor(private readonly factory: backendFactory.BackendFactory) {}

  /** Sets where the clients learn of and report the runs of their servers. */
  useRuns(runs: ServerRuns): void {
    this.runs = runs;
  }

  /** Opens clients for new servers; closes those of removed servers as soon as they are unused. */
  update(machines: readonly backend.MachineRecord[]): void {
    const next = new Map<string, PoolEntry>();
    machines.forEach((machine) => {
      const existing = this.entries.get(machine.id);
      const isSame = existing !== undefined && hasSameClient(existing.machine, machine);
      next.set(machine.id, isSame ? renewed(existing, machine) : this.open(machine));
    });
    const kept = new Set(next.values());
    [...this.entries.values()].filter((entry) => !kept.has(entry)).forEach(retire);
    this.entries = next;
  }

  /**
   * Leases the client of a model engine; `undefined` when the server was removed from the list.
   *
   * @example
   * const lease = pool.engine('desk-1');
   */
  engine(serverId: string): BackendLease<backend.ModelEngine> | undefined {
    const entry = this.entries.get(serverId);
    return entry?.client instanceof backend.ModelEngine ? lease(entry, entry.client) : undefined;
  }

  /** Leases the client of a plain service; `undefined` when the server was removed from the list. */
  plainService(serverId: string): BackendLease<backend.PlainService> | undefined {
    const entry = this.entries.get(serverId);
    return entry?.client instanceof backend.PlainService ? lease(entry, entry.client) : undefined;
  }

  /** Leases the client of a server whose requests pass unchanged; `undefined` when it was removed. */
  relay(serverId: string): BackendLease<backend.RelayServer> | undefined {
    const entry = this.entries.get(serverId);
    return entry?.client instanceof backend.RelayServer ? lease(entry, entry.client) : undefined;
  }

  /** Leases the client of any server, to read its load or to probe it. */
  server(serverId: string): BackendLease<BackendClient> | undefined {
    const entry = this.entries.get(serverId);
    return entry === undefined ? undefined : lease(entry, entry.client);
  }

  /**
   * Probes a server on a new connection; `undefined` when the server was removed from the list. The returned promise never
   * rejects.
   */
  async probe(
    serverId: string,
  ): Promise<results.Result<backend.ProbeReport, verdict.RequestFailure> | undefined> {
    const leased = this.server(serverId);
    const outcome = leased && (await backend.guardedCall(serverId, () => leased.client.probe()));
    leased?.release();
    return outcome;
  }

  serverIds(): readonly string[] {
    return [...this.entries.keys()];
  }

  async close(): Promise<void> {
    const clients = [...this.entries.values()].map((entry) => entry.client);
    this.entries = new Map();
    await Promise.allSettled(clients.map((client) => client.close()));
  }

  private open(machine: backend.MachineRecord): PoolEntry {
    const client = this.factory.open(machine, {
      incarnation: () => this.runs.incarnationOf(machine.id),
      answeredAsLeaving: (incarnation) => this.runs.answeredAsLeaving({ machine, incarnation }),
    });
    return { machine, client, uses: 0, isRetired: false };
  }
}

const UNKNOWN_RUNS: ServerRuns = { incarnationOf: () => undefined, answeredAsLeaving: () => {} };

function renewed(entry: PoolEntry, machine: backend.MachineRecord): PoolEntry {
  return Object.assign(entry, { machine });
}

function hasSameClient(left: backend.MachineRecord, right: backend.MachineRecord): boolean {
  return left.host === right.host && left.port === right.port && left.kind === right.kind;
}

function lease<Client>(entry: PoolEntry, client: Client): BackendLease<Client> {
  const leasedEntry = entry;
  leasedEntry.uses += 1;
  let isReleased = false;
  return {
    machine: entry.machine,
    client,
    release: () => {
      leasedEntry.uses -= isReleased ? 0 : 1;
      isReleased = true;
      closeIfUnused(leasedEntry);
    },
  };
}

function retire(entry: PoolEntry): void {
  const retired = entry;
  retired.isRetired = true;
  closeIfUnused(retired);
}

function closeIfUnused(entry: PoolEntry): void {
  if (entry.isRetired && entry.uses === 0) {
    entry.client.close().catch(() => {});
  }
}
