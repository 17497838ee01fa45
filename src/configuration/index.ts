/** What operators configure: documents, revisions, and how files become a revision. */
export * from './document';
export * from './snapshot';
export * from './canonical';
export * from './difference';
export * from './lookup';
export * from './check';
export * from './problem';
export * from './collect';
