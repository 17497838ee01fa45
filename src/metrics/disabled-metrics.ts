import * as metrics from './metrics';

/** Discards every measurement; used when no collector is configured. */
export class DisabledMetrics extends metrics.Metrics {
  override observe(): void {}

  override count(): void {}

  override set(): void {}

  override async close(): Promise<void> {}
}
