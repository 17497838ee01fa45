/** Generates open-loop load on daemons or engines. */
export * from './arrivals';
export * from './load-recorder';
export * from './load-request';
export * from './load-summary';
export * from './request-mix';
export * from './run-load';
export * from './stream-parser';
