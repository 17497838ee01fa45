/** Queues requests, estimates their wait, and limits optional attempts. */
export * from './budget';
export * from './lane';
export * from './rate-share';
export * from './retry-budget';
export * from './service-queue';
