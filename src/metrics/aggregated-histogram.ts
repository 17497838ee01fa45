import type * as metrics from './metrics';

type HistogramTags = Pick<metrics.MetricTags, 'team' | 'class' | 'service'>;

interface Series {
  readonly tags: HistogramTags;
  /** Observations for each upper bound, not cumulative; the last one is for larger values. */
  readonly counts: number[];
  sum: number;
}

/** One line of the text format. */
interface MetricLine {
  readonly metricName: string;
  readonly labels: Readonly<Record<string, string | number>>;
  readonly value: number;
}

/**
 * A histogram for a `prometheus.Registry`. An observation only increments numbers: each piece of each stream is observed,
 * and the histogram of the library builds and hashes an object of labels for each.
 */
export class AggregatedHistogram {
  readonly type = 'histogram';

  readonly aggregator = 'sum';

  private readonly series = new Map<string, Series>();

  constructor(
    readonly name: string,
    readonly help: string,
    private readonly bounds: readonly number[],
  ) {}

  observe(value: number, { team, class: requestClass, service }: HistogramTags): void {
    const key = `${team ?? ''}\n${requestClass ?? ''}\n${service ?? ''}`;
    let series = this.series.get(key);
    if (series === undefined) {
      const tags = { team, class: requestClass, service };
      series = { tags, counts: Array(this.bounds.length + 1).fill(0), sum: 0 };
      this.series.set(key, series);
    }
    const index = this.bounds.findIndex((bound) => value <= bound);
    series.counts[index < 0 ? this.bounds.length : index] += 1;
    series.sum += value;
  }

  /** The present values, in the form that the registry renders. */
  async get(): Promise<object> {
    const values = [...this.series.values()].flatMap((series) => this.linesOf(series));
    const { name, help, type, aggregator } = this;
    return { name, help, type, aggregator, values };
  }

  /** The registry resets its metrics with this method. */
  reset(): void {
    this.series.clear();
  }

  private linesOf({ tags, counts, sum }: Series): readonly MetricLine[] {
    const labels = Object.fromEntries(
      Object.entries(tags).filter(([, value]) => value !== undefined),
    ) as Record<string, string>;
    let total = 0;
    const buckets = [...this.bounds, '+Inf'].map((bound, index) => {
      total += counts[index];
      return { metricName: `${this.name}_bucket`, labels: { le: bound, ...labels }, value: total };
    });
    return [
      ...buckets,
      { metricName: `${this.name}_sum`, labels, value: sum },
      { metricName: `${this.name}_count`, labels, value: total },
    ];
  }
}
