/**
 * Buffers of one size that are used again. V8 frees the memory of dropped buffers only with its next full collection, before which
 * bodies that are refused one after the other could fill the memory.
 */
export class SegmentPool {
  private readonly free: Buffer[] = [];

  /** @param maximumFreeBytes memory of unused buffers that is kept */
  constructor(
    private readonly maximumFreeBytes = POOL_BYTES,
    readonly segmentBytes = SEGMENT_BYTES,
  ) {}

  /** Bytes of unused buffers. */
  get freeBytes(): number {
    return this.free.length * this.segmentBytes;
  }

  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(this.segmentBytes);
  }

  /** Takes back a buffer; one of another size, or beyond the limit, is dropped. */
  give(segment: Buffer): void {
    if (segment.length === this.segmentBytes && this.freeBytes < this.maximumFreeBytes) {
      this.free.push(segment);
    }
  }
}

/** Segments of the largest body of a gateway, 4 MiB. */
export const POOL_BYTES = 4 * 1_024 * 1_024;

/** As large as what is usually read from a connection at once. */
const SEGMENT_BYTES = 64 * 1_024;
