/** Measurements for operators: histograms and counters tagged with team and class. */
export * from './metrics';
export * from './statsd-metrics';
export * from './disabled-metrics';
export * from './prometheus-metrics';
export * from './process-monitor';
