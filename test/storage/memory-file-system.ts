import * as path from 'node:path';
import * as storage from '../../src/storage';
import * as memoryFile from './memory-file';

/** The fault of a run: the process crashes, or a call fails as on a full or broken disk. */
export enum DiskFault {
  Crash = 'crash',
  Error = 'error',
}

/** Content of one file: the bytes that the process reads, and those that survive a loss of power. */
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

  /** The disk after a loss of power. The share `tailShare` of the unsynced bytes has reached the disk. */
  afterPowerLoss(tailShare: number): MemoryFileSystem {
    const remaining = new MemoryFileSystem();
    this.syncedNames.forEach((content, name) => {
      const tail = content.data.subarray(content.synced.length);
      const kept = tail.subarray(0, Math.floor(tail.length * tailShare));
      const data = Buffer.concat([content.synced, kept]);
      remaining.names.set(name, { data, synced: data });
    });
    remaining.syncedNames = new Map(remaining.names);
    return remaining;
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

  /** Counts a call. The call with number `faultAt` fails; after a crash, every later one fails too. */
  countCall(): void {
    this.calls += 1;
    const hasCrashed = this.fault === DiskFault.Crash && this.calls > this.faultAt;
    if (this.calls === this.faultAt || hasCrashed) {
      throw new Error('ENOSPC: no space left on device');
    }
  }

  override async makeFolder(): Promise<void> {
    this.countCall();
  }

  override async read(file: string): Promise<Uint8Array | undefined> {
    return this.names.get(file)?.data;
  }

  override async create(file: string): Promise<storage.WritableFile> {
    this.countCall();
    const content = this.names.get(file) ?? { data: EMPTY, synced: EMPTY };
    // An existing file is truncated in place, and that may reach the disk at any time.
    Object.assign(content, { data: EMPTY, synced: EMPTY });
    this.names.set(file, content);
    return new memoryFile.MemoryFile(content, () => this.countCall());
  }

  override async rename(from: string, to: string): Promise<void> {
    this.countCall();
    this.names.set(to, this.names.get(from)!);
    this.names.delete(from);
  }

  override async syncFolder(folder: string): Promise<void> {
    this.countCall();
    this.names.forEach((content, name) => {
      if (path.dirname(name) === folder) {
        this.syncedNames.set(name, content);
      }
    });
  }
}

const EMPTY = Buffer.alloc(0);
