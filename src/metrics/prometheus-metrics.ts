import * as prometheus from 'prom-client';
import * as aggregatedHistogram from './aggregated-histogram';
import * as metrics from './metrics';

const TAGS = ['team', 'class', 'service', 'verdict', 'reason'] as const;

type Tag = (typeof TAGS)[number];

/** Keeps measurements in memory and renders them in the Prometheus text format. */
export class PrometheusMetrics extends metrics.Metrics {
  private readonly registry = new prometheus.Registry();

  private readonly histograms = new Map<
    metrics.Histogram,
    aggregatedHistogram.AggregatedHistogram
  >();

  private readonly counters = new Map<metrics.Counter, prometheus.Counter<Tag>>();

  private readonly gauges = new Map<metrics.Gauge, prometheus.Gauge>();

  constructor(labels: Readonly<Record<string, string>>) {
    super();
    this.registry.setDefaultLabels(labels);
    Object.values(metrics.Histogram).forEach((name) => this.histograms.set(name, this.open(name)));
    Object.values(metrics.Counter).forEach((name) =>
      this.counters.set(
        name,
        new prometheus.Counter({
          name: `figline_${name}_total`,
          help: `Number of ${name}`,
          labelNames: TAGS,
          registers: [this.registry],
        }),
      ),
    );
    Object.values(metrics.Gauge).forEach((name) =>
      this.gauges.set(
        name,
        new prometheus.Gauge({
          name: `figline_${name}`,
          help: `Present ${name.replaceAll('_', ' ')}`,
          registers: [this.registry],
        }),
      ),
    );
  }

  override observe(histogram: metrics.Histogram, value: number, tags: metrics.MetricTags): void {
    this.histograms.get(histogram)?.observe(value, tags);
  }

  override count(counter: metrics.Counter, tags: metrics.MetricTags, amount = 1): void {
    this.counters.get(counter)?.inc(defined(tags), amount);
  }

  override set(gauge: metrics.Gauge, value: number): void {
    this.gauges.get(gauge)?.set(value);
  }

  /**
   * Renders all measurements.
   *
   * @example
   * (await metrics.render()).includes('figline_requests_total');
   */
  render(): Promise<string> {
    return this.registry.metrics();
  }

  override async close(): Promise<void> {
    this.registry.clear();
  }

  private open(name: metrics.Histogram): aggregatedHistogram.AggregatedHistogram {
    const opened = new aggregatedHistogram.AggregatedHistogram(
      `figline_${name}`,
      `Distribution of ${name.replaceAll('_', ' ')}`,
      BUCKETS,
    );
    this.registry.registerMetric(opened as unknown as prometheus.Metric);
    return opened;
  }
}

/** From one step of an engine to the longest timeout, in milliseconds; token counts use the same buckets. */
const BUCKETS = [5, 10, 25, 50, 100, 200, 400, 600, 1_000, 2_000, 5_000, 15_000];

function defined(tags: metrics.MetricTags): Partial<Record<Tag, string>> {
  return Object.fromEntries(Object.entries(tags).filter(([, value]) => value !== undefined));
}
