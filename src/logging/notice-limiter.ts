/** Limits of the notices about one kind of thing. */
export interface NoticeLimits {
  /** The same notice is admitted once in each period. */
  readonly periodMilliseconds: number;
  /** Different notices in each period. */
  readonly notices: number;
}

/** Admits each of many notices once in a period, and a limited number of different ones, so that none fills the log. */
export class NoticeLimiter {
  private readonly admitted = new Set<string>();

  private periodStart = Number.NEGATIVE_INFINITY;

  /** @param now monotonic time in milliseconds */
  constructor(
    private readonly now: () => number,
    private readonly limits: NoticeLimits = DEFAULT_LIMITS,
  ) {}

  /**
   * Whether the notice should be logged now.
   *
   * @example
   * limiter.admits('i-1 addr'); // true, and false until the period ends
   */
  admits(notice: string): boolean {
    const now = this.now();
    if (now - this.periodStart >= this.limits.periodMilliseconds) {
      this.periodStart = now;
      this.admitted.clear();
    }
    if (this.admitted.has(notice) || this.admitted.size >= this.limits.notices) {
      return false;
    }
    this.admitted.add(notice);
    return true;
  }
}

const DEFAULT_LIMITS: NoticeLimits = { periodMilliseconds: 600_000, notices: 50 };
