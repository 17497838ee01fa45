/** The decisions about requests: admission, placement, retry, resume, hedging and quarantine. */
export * from './effect';
export * from './event';
export { sharedHashes } from './cached-prefix-lookup';
export * from './options';
export * from './state';
export * from './update';
