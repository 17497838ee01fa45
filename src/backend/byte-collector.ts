/**
 * Collects the parts of an answer in one buffer that grows. The parts are copied: each is a view of the large
 * buffer in which it was received, and a server that sends single bytes could keep many such buffers in memory.
 */
export class ByteCollector {
  private bytes: Buffer = EMPTY;

  private used = 0;

  constructor(private readonly maximumBytes: number) {}

  get size(): number {
    return this.used;
  }

  /**
   * Adds a part; returns false and adds nothing when the total would exceed the limit.
   *
   * @example
   * new ByteCollector(4).add(Buffer.from('sacks')); // false
   */
  add(part: Buffer): boolean {
    const size = this.used + part.length;
    if (size > this.maximumBytes) {
      return false;
    }
    if (size > this.bytes.length) {
      this.grow(size);
    }
    part.copy(this.bytes, this.used);
    this.used = size;
    return true;
  }

  /** The collected bytes, as a view that is valid until the next call of `add`. */
  view(): Buffer {
    return this.bytes.subarray(0, this.used);
  }

  /** The collected bytes; the collector is empty afterwards. */
  take(): Buffer {
    const collected = this.view();
    this.bytes = EMPTY;
    this.used = 0;
    return collected;
  }

  private grow(size: number): void {
    const doubled = Math.max(size, this.bytes.length * 2, FIRST_BYTES);
    const grown = Buffer.allocUnsafeSlow(Math.min(doubled, this.maximumBytes));
    this.bytes.copy(grown, 0, 0, this.used);
    this.bytes = grown;
  }
}

const EMPTY = Buffer.alloc(0);

const FIRST_BYTES = 512;
