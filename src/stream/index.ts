/** Checks of numbered pieces, resume after a fault, and aggregation into a whole answer. Pure. */
export * from './stream-state';
export * from './stream-check';
export * from './aggregate';
export * from './event-format';
