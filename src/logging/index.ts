/** Structured logs: one JSON object per line on standard error, enabled by `debug` namespaces. */
export * from './logger';
export * from './bounded-output';
export * from './notice-limiter';
