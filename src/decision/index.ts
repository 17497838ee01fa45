/** Decides on admission, placement, retry, resume, hedging and quarantine of requests. */
export * from './effect';
export * from './event';
export { sharedPrefixHashes } from './cached-prefix-lookup';
export * from './options';
export { currentServers } from './pending-loads';
export * from './state';
export { endsInTime, STOPS_BEFORE_END } from './stopping';
export * from './update';
