import * as crypto from 'node:crypto';
import * as path from 'node:path';
import * as results from 'ts-results';
import * as replica from '../replica';
import type * as fileSystem from './file-system';
import * as record from './record';
import type * as writableFile from './writable-file';

/** Why the data folder cannot be used. */
export interface StorageFailure {
  readonly message: string;
}

/** The content of a data folder. */
export interface StoredReplica {
  /** Random identity, created with the folder. */
  readonly replicaId: string;
  readonly durable: replica.DurableState;
  /** Bytes of an unacknowledged write that a crash interrupted. */
  readonly tornBytes: number;
}

enum RecordKind {
  Identity = 'identity',
  Write = 'write',
  Snapshot = 'snapshot',
}

interface IdentityRecord {
  readonly kind: RecordKind.Identity;
  readonly replicaId: string;
}

interface WriteRecord {
  readonly kind: RecordKind.Write;
  readonly hardState?: replica.HardState;
  readonly truncateAfter?: number;
  readonly entries: readonly replica.Entry[];
}

interface SnapshotRecord {
  readonly kind: RecordKind.Snapshot;
  readonly replicaId: string;
  readonly snapshot: replica.Snapshot;
}

interface LogFile {
  readonly replicaId: string;
  readonly hardState: replica.HardState;
  readonly entries: readonly replica.Entry[];
  readonly tornBytes: number;
}

/**
 * The durable state of one replica in one folder: `log` starts with the identity and contains term, vote and
 * entries; `snapshot` contains the last snapshot. Identity, term and vote share a file with the entries, so
 * that a lost disk always loses them together.
 */
export class Storage {
  private hardState: replica.HardState = { term: 0 };

  private entries: replica.Entry[] = [];

  private snapshot: replica.Snapshot | undefined;

  private replicaId = '';

  private file: writableFile.WritableFile | undefined;

  /**
   * Set after a failed write or sync: the content of the disk is then unknown, so no later write may succeed.
   */
  private failure: StorageFailure | undefined;

  constructor(
    private readonly files: fileSystem.FileSystem,
    private readonly folder: string,
  ) {}

  /**
   * Reads the folder, or creates it with a new identity when it is empty. Rewriting the log removes a torn
   * record at its end and entries that contradict the snapshot, and makes sure that everything that was read is on disk and not only in the page
   * cache, which keeps pages after a failed sync.
   */
  async open(): Promise<results.Result<StoredReplica, StorageFailure>> {
    return this.guard('data folder cannot be opened', async () => {
      await this.files.makeFolder(this.folder);
      const snapshot = await this.readSnapshot();
      const log = await this.readLog();
      if (snapshot !== undefined && snapshot.replicaId !== log?.replicaId) {
        throw new Error('the snapshot file must have the replica id of the log file');
      }
      this.replicaId = log?.replicaId ?? crypto.randomUUID();
      this.hardState = log?.hardState ?? { term: 0 };
      this.snapshot = snapshot?.snapshot;
      this.entries = [...replica.entriesInForce(log?.entries ?? [], this.snapshot)];
      await this.rewriteLog();
      const { hardState, entries, replicaId } = this;
      const durable = { hardState, entries: [...entries], snapshot: this.snapshot };
      return { replicaId, durable, tornBytes: log?.tornBytes ?? 0 };
    });
  }

  /** Makes an effect durable. After the first failure, every later call fails. */
  async persist(effect: replica.Persist): Promise<results.Result<void, StorageFailure>> {
    return this.guard('replica state cannot be written', async () => {
      this.merge(effect);
      if (effect.snapshot !== undefined) {
        this.snapshot = effect.snapshot;
        await this.writeSnapshot(effect.snapshot);
        this.entries = this.entries.filter((kept) => kept.index > (effect.compactTo ?? 0));
        await this.rewriteLog();
        return;
      }
      const { hardState, truncateAfter, entries } = effect;
      const write: WriteRecord = { kind: RecordKind.Write, hardState, truncateAfter, entries };
      await this.file!.append(record.encodeRecord(write));
      await this.file!.sync();
    });
  }

  async close(): Promise<void> {
    const { file } = this;
    this.file = undefined;
    this.failure ??= { message: 'the data folder is closed' };
    await file?.close();
  }

  private merge(effect: replica.Persist): void {
    const { hardState, truncateAfter } = effect;
    this.hardState = hardState ?? this.hardState;
    this.entries = mergeEntries(this.entries, truncateAfter, effect.entries);
  }

  private async guard<Value>(
    context: string,
    operation: () => Promise<Value>,
  ): Promise<results.Result<Value, StorageFailure>> {
    if (this.failure !== undefined) {
      return results.Err(this.failure);
    }
    try {
      return results.Ok(await operation());
    } catch (error) {
      this.failure = { message: `${context}: ${(error as Error).message}` };
      return results.Err(this.failure);
    }
  }

  private async rewriteLog(): Promise<void> {
    const { hardState, entries, replicaId } = this;
    const identity: IdentityRecord = { kind: RecordKind.Identity, replicaId };
    const write: WriteRecord = { kind: RecordKind.Write, hardState, entries };
    const previousFile = this.file;
    this.file = await this.replaceFile(LOG_NAME, [identity, write]);
    await previousFile?.close();
  }

  private async writeSnapshot(snapshot: replica.Snapshot): Promise<void> {
    const { replicaId } = this;
    const value: SnapshotRecord = { kind: RecordKind.Snapshot, replicaId, snapshot };
    const file = await this.replaceFile(SNAPSHOT_NAME, [value]);
    await file.close();
  }

  /** Writes a new file beside the old one and renames it, so that a crash leaves one of the two complete. */
  private async replaceFile(
    name: string,
    values: readonly unknown[],
  ): Promise<writableFile.WritableFile> {
    const target = path.join(this.folder, name);
    const temporary = `${target}.new`;
    const file = await this.files.create(temporary);
    try {
      await file.append(Buffer.concat(values.map(record.encodeRecord)));
      await file.sync();
      await this.files.rename(temporary, target);
      await this.files.syncFolder(this.folder);
    } catch (error) {
      await file.close();
      throw error;
    }
    return file;
  }

  private async readSnapshot(): Promise<SnapshotRecord | undefined> {
    const records = await this.readRecords(SNAPSHOT_NAME);
    if (records === undefined) {
      return undefined;
    }
    // The file was synced before it was renamed, so an incomplete one is damaged.
    if (records.tornBytes > 0 || records.values.length !== 1) {
      throw new Error('the snapshot file is damaged; it must contain one intact record');
    }
    return records.values[0] as SnapshotRecord;
  }

  private async readLog(): Promise<LogFile | undefined> {
    const records = await this.readRecords(LOG_NAME);
    if (records === undefined) {
      return undefined;
    }
    const [identity, ...writes] = records.values as [IdentityRecord, ...WriteRecord[]];
    if (identity?.kind !== RecordKind.Identity || writes.length === 0) {
      throw new Error(
        'the log file is damaged; it must start with an identity record and a write record',
      );
    }
    return writes.reduce<LogFile>(
      (log, write) => ({
        ...log,
        hardState: write.hardState ?? log.hardState,
        entries: mergeEntries(log.entries, write.truncateAfter, write.entries),
      }),
      {
        replicaId: identity.replicaId,
        hardState: { term: 0 },
        entries: [],
        tornBytes: records.tornBytes,
      },
    );
  }

  private async readRecords(name: string): Promise<record.Records | undefined> {
    const bytes = await this.files.read(path.join(this.folder, name));
    if (bytes === undefined) {
      return undefined;
    }
    const decoded = record.decodeRecords(bytes);
    if (decoded.err) {
      throw new Error(`the ${name} file has a damaged record before an intact one`);
    }
    return decoded.val;
  }
}

const LOG_NAME = 'log';

const SNAPSHOT_NAME = 'snapshot';

function mergeEntries(
  existing: readonly replica.Entry[],
  truncateAfter: number | undefined,
  added: readonly replica.Entry[],
): replica.Entry[] {
  const kept =
    truncateAfter === undefined
      ? existing
      : existing.filter((entry) => entry.index <= truncateAfter);
  return [...kept, ...added];
}
