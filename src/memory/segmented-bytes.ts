import type * as segmentPool from './segment-pool';

/**
 * Collects the parts of a body. The parts are copied: each is a view of the large buffer in which it was received, and single bytes
 * could keep many such buffers in memory. A large body is collected in segments, which are used again for others.
 */
export class SegmentedBytes {
  private readonly full: Buffer[] = [];

  /** Holds the bytes behind the full segments. */
  private last: Buffer = EMPTY;

  private usedOfLast = 0;

  constructor(private readonly pool: segmentPool.SegmentPool) {}

  get size(): number {
    return this.full.length * this.pool.segmentBytes + this.usedOfLast;
  }

  /** Bytes of memory that the collected ones take up. */
  get capacity(): number {
    return this.full.length * this.pool.segmentBytes + this.last.length;
  }

  /**
   * Adds a part.
   *
   * @example
   * new SegmentedBytes(pool).add(Buffer.from('sacks'));
   */
  add(part: Buffer): void {
    for (let offset = 0; offset < part.length;) {
      if (this.usedOfLast === this.last.length) {
        this.grow(part.length - offset);
      }
      const copied = part.copy(this.last, this.usedOfLast, offset);
      this.usedOfLast += copied;
      offset += copied;
    }
  }

  /** The collected bytes in one buffer; nothing is collected afterwards. */
  take(): Buffer {
    const used = this.last.subarray(0, this.usedOfLast);
    // Segments are used again, so that what was collected in them is copied.
    const isOwn = this.last.length !== this.pool.segmentBytes;
    const taken = this.full.length === 0 && isOwn ? used : Buffer.concat([...this.full, used]);
    this.clear();
    return taken;
  }

  /** Drops the collected bytes. */
  clear(): void {
    [...this.full.splice(0), this.last].forEach((segment) => this.pool.give(segment));
    this.last = EMPTY;
    this.usedOfLast = 0;
  }

  /** Small bodies grow within one buffer of their own, up to the size of a segment. */
  private grow(partBytes: number): void {
    const { segmentBytes } = this.pool;
    const isFirst = this.full.length === 0 && this.last.length < segmentBytes;
    const wanted = Math.max(FIRST_BYTES, this.last.length * 2, this.usedOfLast + partBytes);
    if (isFirst && wanted < segmentBytes) {
      const grown = Buffer.allocUnsafeSlow(wanted);
      this.last.copy(grown, 0, 0, this.usedOfLast);
      this.last = grown;
      return;
    }
    const segment = this.pool.take();
    if (isFirst) {
      this.last.copy(segment, 0, 0, this.usedOfLast);
    } else {
      this.full.push(this.last);
      this.usedOfLast = 0;
    }
    this.last = segment;
  }
}

const EMPTY = Buffer.alloc(0);

const FIRST_BYTES = 512;
