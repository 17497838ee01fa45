/** Metrics for operators: histograms, counters and gauges with tags such as team and class. */
export * from './metrics';
export * from './statsd-metrics';
export * from './disabled-metrics';
export * from './prometheus-metrics';
export * from './process-monitor';
