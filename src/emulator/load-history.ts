import * as clock from '../clock';

/** The numbers that an engine reports about its load. */
export interface LoadSample {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedPrefillTokens: number;
}

/** Records past load, so that an engine can report its load with a delay. */
export class LoadHistory {
  private samples: { readonly at: number; readonly sample: LoadSample }[] = [];

  constructor(
    private readonly lagMilliseconds: number,
    private readonly time: clock.Clock,
  ) {}

  /** Records the load after a change. */
  record(sample: LoadSample): void {
    const at = this.time.monotonic();
    this.samples.push({ at, sample });
    const first = this.samples.findLastIndex((entry) => entry.at <= at - this.lagMilliseconds);
    this.samples = this.samples.slice(Math.max(0, first));
  }

  /** The load at `lagMilliseconds` before now. */
  lagged(): LoadSample {
    const limit = this.time.monotonic() - this.lagMilliseconds;
    return this.samples.findLast((entry) => entry.at <= limit)?.sample ?? IDLE;
  }
}

const IDLE: LoadSample = { runningRequests: 0, queuedRequests: 0, queuedPrefillTokens: 0 };
