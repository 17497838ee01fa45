/** Hashes the prefixes of prompts, so that requests with a common prefix go to the same server. */
export * from './canonical-prompt';
export * from './chain-hasher';
