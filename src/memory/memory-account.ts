import * as memoryKind from './memory-kind';

const { MemoryKind } = memoryKind;

/**
 * Counts the bytes that a process holds for all callers and servers together. What has not begun is admitted within a limit;
 * requests, answers and streams that have begun are counted whatever others hold.
 */
export class MemoryAccount {
  private readonly heldBytes = new Map<memoryKind.MemoryKind, number>(
    Object.values(MemoryKind).map((kind) => [kind, 0]),
  );

  private sum = 0;

  private isProcessShort = false;

  private receivedBytes = 0;

  private receivedListener: (() => void) | undefined;

  /** @param limitBytes limit of all kinds together; none if absent */
  constructor(private readonly limitBytes = Number.POSITIVE_INFINITY) {}

  /** Bytes of all kinds. */
  get total(): number {
    return this.sum;
  }

  held(kind: memoryKind.MemoryKind): number {
    return this.heldBytes.get(kind)!;
  }

  /** While the whole process is short of memory, what has not begun may hold less. */
  set isShort(isShort: boolean) {
    this.isProcessShort = isShort;
  }

  /**
   * Counts more bytes of something that has not begun; returns false and counts nothing if its kind, or all kinds together, would
   * exceed their limit.
   *
   * @example
   * new MemoryAccount(1_000).tryAdd(MemoryKind.UnfinishedBodies, 600); // false: half is kept for what has begun
   */
  tryAdd(kind: memoryKind.MemoryKind, bytes: number): boolean {
    const limit = this.isProcessShort ? this.limitBytes * SHORT_SHARE : this.limitBytes;
    const ofKind = limit * (SHARES.get(kind) ?? 1);
    if (this.sum + bytes > limit || this.held(kind) + bytes > ofKind) {
      return false;
    }
    this.add(kind, bytes);
    return true;
  }

  /**
   * Counts more bytes of the only one of its kind, within the limit of all kinds and also while the process is short of memory.
   *
   * @example
   * new MemoryAccount(1_000).tryAddAlone(MemoryKind.UnfinishedBodies, 600); // true
   */
  tryAddAlone(kind: memoryKind.MemoryKind, bytes: number): boolean {
    if (this.sum + bytes > this.limitBytes) {
      return false;
    }
    this.add(kind, bytes);
    return true;
  }

  /**
   * Counts bytes of something that has begun; negative when they are freed.
   *
   * @example
   * account.add(MemoryKind.Answers, -answer.length);
   */
  add(kind: memoryKind.MemoryKind, bytes: number): void {
    this.heldBytes.set(kind, this.held(kind) + bytes);
    this.sum += bytes;
  }

  /** Sets what is called after each few megabytes that were received; nothing if absent. */
  onReceived(listener?: () => void): void {
    this.receivedListener = listener;
  }

  /** Reports bytes that were read from callers; the buffers in which they arrived are garbage afterwards. */
  noteReceived(bytes: number): void {
    this.receivedBytes += bytes;
    if (this.receivedBytes >= REPORTED_BYTES) {
      this.receivedBytes = 0;
      this.receivedListener?.();
    }
  }
}

/** Little beside what the smallest VM leaves to its process. */
const REPORTED_BYTES = 2 * 1_024 * 1_024;

/** Parts of the limit that what has not begun may hold, so that it never fills the memory of what has. */
const SHARES = new Map([
  [MemoryKind.Heads, 0.25],
  [MemoryKind.UnfinishedBodies, 0.5],
]);

const SHORT_SHARE = 0.5;
