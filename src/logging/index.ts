/** Structured logs: one JSON object a line on standard error, switched on by `debug` namespaces. */
export * from './logger';
export * from './bounded-output';
