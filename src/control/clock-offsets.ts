/**
 * Differences between this daemon's wall clock and those of its peers, from the times in their heartbeats. A time that
 * was written by a peer is compared with this daemon's clock only after it was translated.
 */
export class ClockOffsets {
  /** Recent differences by peer address, the newest last; each is too large by the delay of its heartbeat. */
  private readonly differences = new Map<string, readonly number[]>();

  /** Records the wall clocks, in milliseconds, at which a heartbeat was sent and received. */
  record(address: string, sentAt: number, receivedAt: number): void {
    const earlier = this.differences.get(address) ?? [];
    this.differences.set(address, [...earlier, receivedAt - sentAt].slice(-KEPT_DIFFERENCES));
  }

  forget(address: string): void {
    this.differences.delete(address);
  }

  /**
   * Milliseconds by which this daemon's clock is ahead of the peer's; 0 for an unknown peer. Heartbeats that waited
   * while this VM was suspended do not count, as long as one of the recent ones arrived at once.
   *
   * @example
   * offsets.record('10.0.0.2:7340', 1_000, 61_000);
   * offsets.offsetTo('10.0.0.2:7340'); // 60_000
   */
  offsetTo(address: string | undefined): number {
    const differences = address === undefined ? undefined : this.differences.get(address);
    return differences === undefined ? 0 : Math.min(...differences);
  }
}

/** More heartbeats than arrive late together after a suspension of a few seconds. */
const KEPT_DIFFERENCES = 12;
