import type * as clock from './clock';

/**
 * Notices that the VM was suspended: the wall clock counts that time, the monotonic clock does not. A clock that
 * is set forward looks the same.
 */
export class SuspensionDetector {
  private lead: number;

  private noticedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly time: clock.Clock) {
    this.lead = this.currentLead();
  }

  /**
   * Monotonic time at which the last suspension was noticed; minus infinity when there was none.
   *
   * @example
   * const isCertain = message.sentAt > watch.lastNoticedAt();
   */
  lastDetectedAt(): number {
    const lead = this.currentLead();
    if (lead - this.lead > TOLERANCE_MILLISECONDS) {
      this.noticedAt = this.time.monotonic();
      this.lead = lead;
    }
    this.lead = Math.min(this.lead, lead);
    return this.noticedAt;
  }

  private currentLead(): number {
    return this.time.now() - this.time.monotonic();
  }
}

/** Half of what a lease allows for clocks of different speed. */
const TOLERANCE_MILLISECONDS = 50;
