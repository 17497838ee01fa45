/** A file that is being written. Nothing is durable before `sync` resolves. */
export abstract class WritableFile {
  abstract append(data: Uint8Array): Promise<void>;

  /** Resolves once everything appended so far would survive a loss of power. */
  abstract sync(): Promise<void>;

  abstract close(): Promise<void>;
}
