/** Replicated log core: elections, replication, snapshots and replacement of voters, without any I/O. */
export * from './entry';
export * from './message';
export * from './event';
export * from './effect';
export * from './state';
export * from './log';
export * from './lease';
export * from './update';
