/** The configuration: documents, snapshots, and the collection and checks of configuration files. */
export * from './document';
export * from './snapshot';
export * from './canonical';
export * from './difference';
export * from './lookup';
export * from './check';
export * from './problem';
export * from './collect';
