import * as storage from '../../src/storage';

/** The operating system's files on a disk that can be full. */
export class FailingFileSystem extends storage.NodeFileSystem {
  isFailing = false;

  override async create(file: string): Promise<storage.WritableFile> {
    this.check();
    const created = await super.create(file);
    return {
      append: async (data) => {
        this.check();
        await created.append(data);
      },
      sync: () => created.sync(),
      close: () => created.close(),
    };
  }

  private check(): void {
    if (this.isFailing) {
      throw new Error('the disk is full');
    }
  }
}
