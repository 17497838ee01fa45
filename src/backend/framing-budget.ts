/**
 * Bounds the bytes of an answer that are no part of its body: status lines, headers, interim answers, chunk
 * sizes and extensions, trailers. An HTTP parser skips some of them without counting, so that a server could
 * send them without end.
 */
export class FramingBudget {
  private left: number;

  constructor(private readonly maximumBytes: number) {
    this.left = maximumBytes;
  }

  /**
   * Counts bytes that arrived; false once too many of them were no part of a body.
   *
   * @example
   * new FramingBudget(65_536).count(70_000, 0); // false
   *
   * @param received bytes that arrived
   * @param body how many of them were part of a body
   */
  count(received: number, body: number): boolean {
    const earned = body * FRAMING_BYTES_PER_BODY_BYTE;
    this.left = Math.min(this.maximumBytes, this.left + earned - (received - body));
    return this.left >= 0;
  }
}

/** A chunk of one byte has 5 bytes of framing, and up to 20 with a size that is padded with zeros. */
const FRAMING_BYTES_PER_BODY_BYTE = 20;
