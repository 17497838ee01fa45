/** A file that is open for writing. Nothing is durable before `sync` resolves. */
export abstract class WritableFile {
  abstract append(data: Uint8Array): Promise<void>;

  /** Resolves once everything appended so far is safe from a loss of power. */
  abstract sync(): Promise<void>;

  abstract close(): Promise<void>;
}
