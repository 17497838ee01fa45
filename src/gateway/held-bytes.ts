/**
 * Bounds what all requests together hold of answers that they cannot pass on yet: parts of events, and whole
 * answers that may still be asked for again. One daemon has one of these.
 */
export class HeldBytes {
  private held = 0;

  constructor(private readonly maximumBytes: number = MAXIMUM_HELD_BYTES) {}

  get size(): number {
    return this.held;
  }

  /**
   * Replaces what one request holds; false, and nothing changes, when all would hold too much.
   *
   * @example
   * new HeldBytes(1_024).change(0, 2_048); // false
   */
  change(before: number, after: number): boolean {
    const held = this.held - before + after;
    if (held > this.maximumBytes && after > before) {
      return false;
    }
    this.held = held;
    return true;
  }
}

/** A fifth of the memory of the smallest entry VM, which has 178 MB. */
const MAXIMUM_HELD_BYTES = 34 * 1_024 * 1_024;
