/** Which request is next, and whether one can be served in time at all. */
export * from './budget';
export * from './lane';
export * from './service-queue';
