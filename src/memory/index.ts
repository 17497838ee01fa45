/** Counts and limits the memory that a process holds for its callers and servers. */
export * from './memory-kind';
export * from './memory-account';
export * from './memory-limits';
export * from './memory-watch';
export * from './garbage-collector';
export * from './segment-pool';
export * from './segmented-bytes';
