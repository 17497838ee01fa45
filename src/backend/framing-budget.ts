/**
 * Limits the bytes of an answer that are not part of its body: status lines, headers, interim answers, chunk
 * sizes and extensions, trailers. The HTTP parser skips some of them without a limit, so that a server could
 * send them without end.
 */
export class FramingBudget {
  private remaining: number;

  constructor(private readonly maximumBytes: number) {
    this.remaining = maximumBytes;
  }

  /**
   * Counts received bytes; returns false once too many of them were not part of a body.
   *
   * @example
   * new FramingBudget(65_536).count(70_000, 0); // false
   *
   * @param received number of received bytes
   * @param body number of these that were part of a body
   */
  count(received: number, body: number): boolean {
    const allowance = body * FRAMING_BYTES_PER_BODY_BYTE;
    this.remaining = Math.min(this.maximumBytes, this.remaining + allowance - (received - body));
    return this.remaining >= 0;
  }
}

/** A chunk of one byte has 5 bytes of framing, and up to 20 with a size that is padded with zeros. */
const FRAMING_BYTES_PER_BODY_BYTE = 20;
