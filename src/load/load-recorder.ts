import * as histograms from 'hdr-histogram-js';

/** Distribution of one duration in milliseconds. */
export interface Distribution {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly maximum: number;
}

/** Histograms and counts of one run. Durations are recorded in microseconds. */
export class LoadRecorder {
  readonly firstToken = newHistogram();

  readonly betweenTokens = newHistogram();

  readonly total = newHistogram();

  readonly plain = newHistogram();

  /** Delay between planned and actual sending; large values show that the generator is the bottleneck. */
  readonly lateness = newHistogram();

  tokens = 0;

  succeeded = 0;

  private readonly failures = new Map<string, number>();

  fail(verdict: string, reason: string): void {
    const key = `${verdict}/${reason}`;
    this.failures.set(key, (this.failures.get(key) ?? 0) + 1);
  }

  /** Failed requests by verdict and reason. */
  failureCounts(): Record<string, number> {
    return Object.fromEntries(this.failures);
  }
}

/** Records a duration given in milliseconds. */
export function record(histogram: histograms.Histogram, milliseconds: number): void {
  histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
}

export function distribution(histogram: histograms.Histogram): Distribution {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    maximum: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
  };
}

const MICROSECONDS_PER_MILLISECOND = 1_000;

function newHistogram(): histograms.Histogram {
  return histograms.build({
    lowestDiscernibleValue: 1,
    // Ten minutes in microseconds, the longest run.
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
}
