import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as fileSystem from './file-system';
import * as nodeFile from './node-file';
import type * as writableFile from './writable-file';

/** The operating system's files. */
export class NodeFileSystem extends fileSystem.FileSystem {
  override async makeFolder(folder: string): Promise<void> {
    const created = await fs.mkdir(folder, { recursive: true });
    if (created !== undefined) {
      await this.syncFolder(path.dirname(created));
    }
  }

  override async read(file: string): Promise<Uint8Array | undefined> {
    try {
      return await fs.readFile(file);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
        return undefined;
      }
      throw error;
    }
  }

  override async create(file: string): Promise<writableFile.WritableFile> {
    return new nodeFile.NodeFile(await fs.open(file, 'w', OWNER_ONLY));
  }

  override async rename(from: string, to: string): Promise<void> {
    await fs.rename(from, to);
  }

  override async syncFolder(folder: string): Promise<void> {
    const handle = await fs.open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

// Recorded answers may hold data of callers.
const OWNER_ONLY = 0o600;
