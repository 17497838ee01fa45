import type * as writableFile from './writable-file';

/**
 * The file system that the storage uses. Failures reject; tests implement this class to inject failures and
 * to lose whatever was not synced.
 */
export abstract class FileSystem {
  abstract makeFolder(path: string): Promise<void>;

  /** The content of a file, or `undefined` when it does not exist. */
  abstract read(path: string): Promise<Uint8Array | undefined>;

  /** Creates an empty file; replaces an existing one. */
  abstract create(path: string): Promise<writableFile.WritableFile>;

  /** Renames a file over another one. Durable only after `syncFolder`. */
  abstract rename(from: string, to: string): Promise<void>;

  /** Makes the creation and renaming of files in a folder durable. */
  abstract syncFolder(path: string): Promise<void>;
}
