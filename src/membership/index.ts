/** Which backend servers may get new requests. */
export * from './membership-view';
export * from './event';
export * from './effect';
export * from './report';
export * from './serving-weights';
export * from './unknown-weights';
export * from './update';
