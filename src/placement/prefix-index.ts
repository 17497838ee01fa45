import * as immutable from 'immutable';

/** The blocks that one incarnation of a server probably has cached. */
interface ServerEntries {
  readonly incarnation: string;
  /** When the block with each chain hash was last cached. */
  readonly blocks: immutable.Map<string, number>;
}

/**
 * Index of the blocks that servers probably have cached, learned from dispatches and answers. Entries belong
 * to an incarnation of a server. Team, model and weights version seed the chain hashes, so that a lookup
 * never returns the entries of another team, model or version.
 */
export interface PrefixIndex {
  readonly servers: immutable.Map<string, ServerEntries>;
  /** Learned estimate of how long an unused block stays cached. */
  readonly lifetimeMilliseconds: number;
}

/** What an answer reported about the cache of the server. */
export interface CacheObservation {
  readonly serverId: string;
  readonly incarnation: string;
  readonly chain: readonly string[];
  /** Number of blocks at the start of the chain that were cached. */
  readonly cachedBlocks: number;
  /** When each block was last cached, as of the dispatch. */
  readonly lastCachedTimes: LastCachedTimes;
  readonly at: number;
}

/** For each block of a chain, when it was last cached; undefined when unknown. */
export type LastCachedTimes = readonly (number | undefined)[];

/** Engines evict within seconds; answers correct this initial value. */
const INITIAL_LIFETIME_MILLISECONDS = 15_000;

export const EMPTY_INDEX: PrefixIndex = {
  servers: immutable.Map<string, ServerEntries>(),
  lifetimeMilliseconds: INITIAL_LIFETIME_MILLISECONDS,
};

/**
 * The number of blocks at the start of a chain that are probably cached at a server.
 *
 * @example
 * cachedBlocks(index, 'runner-0', 'incarnation-4', chain, at); // 12
 */
export function cachedBlocks(
  index: PrefixIndex,
  serverId: string,
  incarnation: string | undefined,
  chain: readonly string[],
  at: number,
): number {
  const entries = index.servers.get(serverId);
  if (entries === undefined || entries.incarnation !== incarnation) {
    return 0;
  }
  const oldest = at - index.lifetimeMilliseconds;
  return (
    1 +
    chain.findLastIndex((hash) => {
      const cachedAt = entries.blocks.get(hash);
      return cachedAt !== undefined && cachedAt >= oldest;
    })
  );
}

/** When each block of a chain was last cached at an incarnation of a server. */
export function lastCachedTimes(
  index: PrefixIndex,
  serverId: string,
  incarnation: string | undefined,
  chain: readonly string[],
): LastCachedTimes {
  const entries = index.servers.get(serverId);
  return entries?.incarnation === incarnation
    ? chain.map((hash) => entries?.blocks.get(hash))
    : chain.map(() => undefined);
}

/**
 * Records the whole chain of a dispatched request as cached, which it is after the prefill. The next request
 * with the same prefix then finds the entries before the answer arrives.
 */
export function learnDispatch(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chain: readonly string[],
  at: number,
): PrefixIndex {
  const current = index.servers.get(serverId);
  const previousBlocks =
    current?.incarnation === incarnation ? current.blocks : immutable.Map<string, number>();
  const blocks = previousBlocks.withMutations((mutable) => {
    chain.forEach((hash) => mutable.set(hash, at));
  });
  return { ...index, servers: index.servers.set(serverId, { incarnation, blocks }) };
}

/**
 * Updates the index from an answer. The server has the whole chain cached now, and the number of blocks that
 * it had before shows whether entries of their age survive.
 *
 * @example
 * learnAnswer(index, { serverId, incarnation, chain, cachedBlocks: 5, lastCachedTimes, at });
 */
export function learnAnswer(index: PrefixIndex, observation: CacheObservation): PrefixIndex {
  const { serverId, incarnation, chain, at } = observation;
  return {
    ...learnDispatch(index, serverId, incarnation, chain, at),
    lifetimeMilliseconds: correctLifetime(index.lifetimeMilliseconds, observation),
  };
}

/** Adds one block that a cache event reports as stored. */
export function addBlock(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chainHash: string,
): PrefixIndex {
  const current = index.servers.get(serverId);
  const blocks =
    current?.incarnation === incarnation ? current.blocks : immutable.Map<string, number>();
  const entries = { incarnation, blocks: blocks.set(chainHash, 0) };
  return { ...index, servers: index.servers.set(serverId, entries) };
}

/** Removes a block that a cache event reports as evicted, if the event is about the current incarnation. */
export function forgetBlock(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chainHash: string,
): PrefixIndex {
  const entries = index.servers.get(serverId);
  if (entries?.incarnation !== incarnation || !entries.blocks.has(chainHash)) {
    return index;
  }
  const blocks = entries.blocks.delete(chainHash);
  return { ...index, servers: index.servers.set(serverId, { ...entries, blocks }) };
}

/** Removes all entries of a server, unless they belong to the incarnation `except`. */
export function forgetServer(index: PrefixIndex, serverId: string, except?: string): PrefixIndex {
  const entries = index.servers.get(serverId);
  if (entries === undefined || (except !== undefined && entries.incarnation === except)) {
    return index;
  }
  return { ...index, servers: index.servers.delete(serverId) };
}

/** Removes entries that are older than the lifetime. */
export function pruneIndex(index: PrefixIndex, at: number): PrefixIndex {
  const oldest = at - index.lifetimeMilliseconds;
  const servers = index.servers.map((entries) => {
    const blocks = entries.blocks.filter((cachedAt) => cachedAt >= oldest);
    return blocks.size === entries.blocks.size ? entries : { ...entries, blocks };
  });
  return { ...index, servers };
}

/**
 * Moves the lifetime towards the age of an entry that contradicts it. The first block after the cached ones
 * was evicted; the last cached one survived.
 */
function correctLifetime(lifetime: number, observation: CacheObservation): number {
  const age = (depth: number) => {
    const cachedAt = observation.lastCachedTimes[depth - 1];
    return cachedAt === undefined ? undefined : observation.at - cachedAt;
  };
  const evictedAge = age(observation.cachedBlocks + 1);
  const survivedAge = age(observation.cachedBlocks);
  if (evictedAge !== undefined && evictedAge < lifetime) {
    return Math.max(
      MINIMUM_LIFETIME_MILLISECONDS,
      lifetime - EVICTION_GAIN * (lifetime - evictedAge),
    );
  }
  if (survivedAge !== undefined && survivedAge > lifetime * SURVIVAL_FRACTION) {
    return Math.min(MAXIMUM_LIFETIME_MILLISECONDS, lifetime * GROWTH_FACTOR);
  }
  return lifetime;
}

const EVICTION_GAIN = 0.1;
const GROWTH_FACTOR = 1.05;
/** Pruning removes entries above the lifetime, so that survival to this fraction of it already extends it. */
const SURVIVAL_FRACTION = 0.6;
const MINIMUM_LIFETIME_MILLISECONDS = 2_000;
const MAXIMUM_LIFETIME_MILLISECONDS = 60_000;
