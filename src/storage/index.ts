/** Durable state of a replica in one data folder. */
export * from './file-system';
export * from './node-file-system';
export * from './storage';
export * from './writable-file';
