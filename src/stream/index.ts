/** Checks numbered pieces, resumes streams after faults and assembles complete answers. Pure functions. */
export * from './stream-state';
export * from './stream-check';
export * from './aggregate';
export * from './event-format';
