/** Measurements for operators: histograms and counters tagged with team and class. */
export * from './metrics';
export * from './statsd-metrics';
export * from './silent-metrics';
export * from './text-metrics';
export * from './process-watch';
