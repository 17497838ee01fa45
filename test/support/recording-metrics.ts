import * as metrics from '../../src/metrics';

/** Records every observation, count and gauge. */
export class RecordingMetrics extends metrics.Metrics {
  readonly observations: { readonly name: string; readonly tags: metrics.MetricTags }[] = [];

  override observe(histogram: metrics.Histogram, _value: number, tags: metrics.MetricTags): void {
    this.observations.push({ name: histogram, tags });
  }

  override count(counter: metrics.Counter, tags: metrics.MetricTags): void {
    this.observations.push({ name: counter, tags });
  }

  readonly gauges = new Map<metrics.Gauge, number>();

  override set(gauge: metrics.Gauge, value: number): void {
    this.gauges.set(gauge, value);
  }

  override async close(): Promise<void> {}
}
