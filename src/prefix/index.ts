/** Names for the prefixes of a prompt, so that requests with a shared prefix meet at one server. */
export * from './canonical-prompt';
export * from './chain-hasher';
