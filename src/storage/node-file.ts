import type * as fs from 'node:fs/promises';
import * as writableFile from './writable-file';

/** An open file of the operating system. */
export class NodeFile extends writableFile.WritableFile {
  constructor(private readonly handle: fs.FileHandle) {
    super();
  }

  override async append(data: Uint8Array): Promise<void> {
    await this.handle.appendFile(data);
  }

  override async sync(): Promise<void> {
    await this.handle.datasync();
  }

  override async close(): Promise<void> {
    await this.handle.close();
  }
}
