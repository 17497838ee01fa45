import * as immutable from 'immutable';

/** What this daemon believes one incarnation of a server has cached. */
interface ServerEntries {
  readonly incarnation: string;
  /** When each chain hash was last known to be cached. */
  readonly pieces: immutable.Map<string, number>;
}

/**
 * The learned prefix index. Entries belong to a server and its incarnation; the chain hashes are seeded
 * by team, model and weights version, so that an entry is never found for another of these.
 */
export interface PrefixIndex {
  readonly servers: immutable.Map<string, ServerEntries>;
  /** Learned estimate of how long an unused piece stays cached. */
  readonly lifetimeMilliseconds: number;
}

/** What an answer said about the cache of the server. */
export interface CacheObservation {
  readonly serverId: string;
  readonly incarnation: string;
  readonly chain: readonly string[];
  /** Pieces at the start of the chain that were cached. */
  readonly cachedPieces: number;
  /** When each piece was last known to be cached, as of the dispatch. */
  readonly lastSeen: LastSeen;
  readonly at: number;
}

/** For each piece of a chain, when it was last known to be cached. */
export type LastSeen = readonly (number | undefined)[];

/** Engines evict within seconds; the lifetime is corrected by answers from this start. */
const INITIAL_LIFETIME_MILLISECONDS = 15_000;

export const EMPTY_INDEX: PrefixIndex = {
  servers: immutable.Map<string, ServerEntries>(),
  lifetimeMilliseconds: INITIAL_LIFETIME_MILLISECONDS,
};

/**
 * The number of pieces at the start of a chain that are believed to be cached at a server.
 *
 * @example
 * cachedPieces(index, 'runner-0', 'incarnation-4', chain, at); // 12
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
      const seen = entries.pieces.get(hash);
      return seen !== undefined && seen >= oldest;
    })
  );
}

/** When each piece of a chain was last known to be cached at an incarnation of a server. */
export function lastSeen(
  index: PrefixIndex,
  serverId: string,
  incarnation: string | undefined,
  chain: readonly string[],
): LastSeen {
  const entries = index.servers.get(serverId);
  return entries?.incarnation === incarnation
    ? chain.map((hash) => entries?.pieces.get(hash))
    : chain.map(() => undefined);
}

/**
 * Notes that a request was sent: once its prefill is done, its whole chain is cached at the server. The
 * next request with the same prefix must not wait for the answer to know that.
 */
export function learnDispatch(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chain: readonly string[],
  at: number,
): PrefixIndex {
  const known = index.servers.get(serverId);
  const before =
    known?.incarnation === incarnation ? known.pieces : immutable.Map<string, number>();
  const pieces = before.withMutations((mutable) => {
    chain.forEach((hash) => mutable.set(hash, at));
  });
  return { ...index, servers: index.servers.set(serverId, { incarnation, pieces }) };
}

/**
 * Learns from an answer. After it, the whole chain is cached at the server; what was cached before it
 * shows whether entries of that age survive.
 *
 * @example
 * learnAnswer(index, { serverId, incarnation, chain, cachedPieces: 5, at });
 */
export function learnAnswer(index: PrefixIndex, observation: CacheObservation): PrefixIndex {
  const { serverId, incarnation, chain, at } = observation;
  return {
    ...learnDispatch(index, serverId, incarnation, chain, at),
    lifetimeMilliseconds: correctLifetime(index.lifetimeMilliseconds, observation),
  };
}

/** Adds one piece that a cache event reports as stored. */
export function addBlock(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chainHash: string,
): PrefixIndex {
  const known = index.servers.get(serverId);
  const pieces =
    known?.incarnation === incarnation ? known.pieces : immutable.Map<string, number>();
  const entries = { incarnation, pieces: pieces.set(chainHash, 0) };
  return { ...index, servers: index.servers.set(serverId, entries) };
}

/** Removes a piece that a cache event reports as evicted, if the event is about the known incarnation. */
export function forgetBlock(
  index: PrefixIndex,
  serverId: string,
  incarnation: string,
  chainHash: string,
): PrefixIndex {
  const entries = index.servers.get(serverId);
  if (entries?.incarnation !== incarnation || !entries.pieces.has(chainHash)) {
    return index;
  }
  const pieces = entries.pieces.delete(chainHash);
  return { ...index, servers: index.servers.set(serverId, { ...entries, pieces }) };
}

/** Removes all that is known about a server, unless it is about the given incarnation. */
export function forgetServer(index: PrefixIndex, serverId: string, except?: string): PrefixIndex {
  const entries = index.servers.get(serverId);
  if (entries === undefined || (except !== undefined && entries.incarnation === except)) {
    return index;
  }
  return { ...index, servers: index.servers.delete(serverId) };
}

/** Removes entries too old to be believed. */
export function pruneIndex(index: PrefixIndex, at: number): PrefixIndex {
  const oldest = at - index.lifetimeMilliseconds;
  const servers = index.servers.map((entries) => {
    const pieces = entries.pieces.filter((seen) => seen >= oldest);
    return pieces.size === entries.pieces.size ? entries : { ...entries, pieces };
  });
  return { ...index, servers };
}

/**
 * Moves the lifetime towards the age of an entry that contradicts it. The first piece after the cached
 * ones was evicted; the last cached one survived.
 */
function correctLifetime(lifetime: number, observation: CacheObservation): number {
  const age = (depth: number) => {
    const seen = observation.lastSeen[depth - 1];
    return seen === undefined ? undefined : observation.at - seen;
  };
  const evictedAge = age(observation.cachedPieces + 1);
  const survivedAge = age(observation.cachedPieces);
  if (evictedAge !== undefined && evictedAge < lifetime) {
    return Math.max(MINIMUM_LIFETIME_MILLISECONDS, lifetime - GAIN * (lifetime - evictedAge));
  }
  if (survivedAge !== undefined && survivedAge > lifetime * SURVIVAL_FRACTION) {
    return Math.min(MAXIMUM_LIFETIME_MILLISECONDS, lifetime * GROWTH);
  }
  return lifetime;
}

const GAIN = 0.1;
const GROWTH = 1.05;
/** Pruning hides ages above the lifetime, so that survival close to it already has to lengthen it. */
const SURVIVAL_FRACTION = 0.6;
const MINIMUM_LIFETIME_MILLISECONDS = 2_000;
const MAXIMUM_LIFETIME_MILLISECONDS = 60_000;
