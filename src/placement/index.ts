/** Where a request should run: learned prefix index, rendezvous hashing, load and added-up costs. */
export * from './affinity-cost';
export * from './affinity-key';
export * from './cost-rule';
export * from './prefix-demand';
export * from './peer-cache';
export * from './prefix-index';
export * from './rendezvous';
export * from './server-load';
export * from './standard-rules';
