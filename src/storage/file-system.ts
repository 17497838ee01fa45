import type * as writableFile from './writable-file';

/**
 * What the storage needs from a file system. Failures reject; tests implement this port to inject them
 * and to lose whatever was not synced.
 */
export abstract class FileSystem {
  abstract makeFolder(path: string): Promise<void>;

  /** The content of a file, or `undefined` when it does not exist. */
  abstract read(path: string): Promise<Uint8Array | undefined>;

  /** Creates an empty file; replaces an existing one. */
  abstract create(path: string): Promise<writableFile.WritableFile>;

  /** Renames a file over another one. Durable only after `syncFolder`. */
  abstract rename(from: string, to: string): Promise<void>;

  /** Makes created and renamed names in a folder durable. */
  abstract syncFolder(path: string): Promise<void>;
}
