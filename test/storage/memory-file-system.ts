import * as path from 'node:path';
import * as storage from '../../src/storage';
import * as memoryFile from './memory-file';

/** What stops a run: the process dies, or a call fails as on a full or broken disk. */
export enum DiskFault {
  Crash = 'crash',
  Error = 'error',
}

/** Content of one file: what the process sees, and what would survive a loss of power. */
export interface FileContent {
  data: Buffer;
  synced: Buffer;
}

/**
 * Files in memory. Names and content become durable only when synced; `afterPowerLoss` keeps what was
 * synced and, of an unsynced tail, a part. The call with number `faultAt` fails.
 */
export class MemoryFileSystem extends storage.FileSystem {
  calls = 0;

  private names = new Map<string, FileContent>();

  private syncedNames = new Map<string, FileContent>();

  constructor(
    private faultAt = Number.POSITIVE_INFINITY,
    private fault = DiskFault.Crash,
  ) {
    super();
  }

  /** The disk after a loss of power. `tailShare` of unsynced bytes reached the disk all the same. */
  afterPowerLoss(tailShare: number): MemoryFileSystem {
    const survivor = new MemoryFileSystem();
    this.syncedNames.forEach((content, name) => {
      const tail = content.data.subarray(content.synced.length);
      const kept = tail.subarray(0, Math.floor(tail.length * tailShare));
      const data = Buffer.concat([content.synced, kept]);
      survivor.names.set(name, { data, synced: data });
    });
    survivor.syncedNames = new Map(survivor.names);
    return survivor;
  }

  /** Makes every later call fail, as on a full disk. */
  failFromNow(): void {
    this.faultAt = this.calls + 1;
    this.fault = DiskFault.Crash;
  }

  /** Changes one byte of a file. */
  damage(name: string, offset: number): void {
    const content = this.names.get(name)!;
    content.data = Buffer.from(content.data);
    content.data[offset] = 255 - content.data[offset];
  }

  size(name: string): number {
    return this.names.get(name)?.data.length ?? 0;
  }

  /** Counts a call; from the chosen one on, every call fails after a crash. */
  enter(): void {
    this.calls += 1;
    const isDead = this.fault === DiskFault.Crash && this.calls > this.faultAt;
    if (this.calls === this.faultAt || isDead) {
      throw new Error('ENOSPC: no space left on device');
    }
  }

  override async makeFolder(): Promise<void> {
    this.enter();
  }

  override async read(file: string): Promise<Uint8Array | undefined> {
    return this.names.get(file)?.data;
  }

  override async create(file: string): Promise<storage.WritableFile> {
    this.enter();
    const content = this.names.get(file) ?? { data: EMPTY, synced: EMPTY };
    // An existing file is emptied in place, and that may reach the disk at any time.
    Object.assign(content, { data: EMPTY, synced: EMPTY });
    this.names.set(file, content);
    return new memoryFile.MemoryFile(content, () => this.enter());
  }

  override async rename(from: string, to: string): Promise<void> {
    this.enter();
    this.names.set(to, this.names.get(from)!);
    this.names.delete(from);
  }

  override async syncFolder(folder: string): Promise<void> {
    this.enter();
    this.names.forEach((content, name) => {
      if (path.dirname(name) === folder) {
        this.syncedNames.set(name, content);
      }
    });
  }
}

const EMPTY = Buffer.alloc(0);
