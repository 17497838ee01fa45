/** Estimates the cost of a request at each server from cached prefixes, rendezvous hashing and load. */
export * from './affinity-cost';
export * from './affinity-key';
export * from './cost-rule';
export * from './fleet-demand';
export * from './prefix-demand';
export * from './peer-cache';
export * from './prefix-index';
export * from './rendezvous';
export * from './server-load';
export * from './standard-rules';
