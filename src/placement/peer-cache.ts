import * as immutable from 'immutable';
import * as rendezvous from './rendezvous';

/** Prefixes that one daemon has sent to a server. */
export interface PrefixPlacement {
  readonly serverId: string;
  /** See `prefixHash`. */
  readonly hashes: readonly number[];
}

/** When each server was last sent a prefix, by the hash of the prefix. */
type PlacedAt = immutable.Map<number, immutable.Map<string, number>>;

/**
 * To which servers other daemons have sent prefixes. The entries form two generations, and the earlier one is
 * dropped as a whole, because a search for single expired entries would take longer than all their other
 * uses.
 */
export interface PeerCache {
  readonly recent: PlacedAt;
  readonly earlier: PlacedAt;
  /** When the generation `recent` was started. */
  readonly startedAt: number;
}

const EMPTY_PLACED_AT: PlacedAt = immutable.Map<number, immutable.Map<string, number>>();

export const EMPTY_PEER_CACHE: PeerCache = {
  recent: EMPTY_PLACED_AT,
  earlier: EMPTY_PLACED_AT,
  startedAt: 0,
};

/**
 * A 32-bit hash of a prefix for messages. Two prefixes may have the same hash, so that it must cause nothing
 * but an attempt to copy cached blocks, whose full keys the servers compare.
 *
 * @example
 * prefixHash('3', 'desk-model/8970960c'); // 2_964_013_377
 */
export function prefixHash(weightsVersion: string, chainKey: string): number {
  return rendezvous.hashText(`${weightsVersion}/${chainKey}`);
}

/**
 * Records to which servers peers have sent prefixes.
 *
 * Load pattern: several daemons send requests with nested prefixes. The outer prefix is cached at many
 * servers and the inner one at a few. A daemon that has only its own requests causes prefills of prefixes
 * that a server could copy from another one. Daemons therefore report to each other where they send prefixes.
 */
export function learnPlacements(
  cache: PeerCache,
  placements: readonly PrefixPlacement[],
  at: number,
): PeerCache {
  const recent = cache.recent.withMutations((mutable) => {
    placements.forEach(({ serverId, hashes }) =>
      hashes.forEach((hash) => mutable.set(hash, mutable.get(hash, NO_SERVERS).set(serverId, at))),
    );
  });
  return recent === cache.recent ? cache : { ...cache, recent };
}

/** Whether there are no entries. */
export function isPeerCacheEmpty({ recent, earlier }: PeerCache): boolean {
  return recent.isEmpty() && earlier.isEmpty();
}

/**
 * The number of blocks at the start of a chain that peers have sent to each server, without the servers that
 * got none. The lookup happens once for all servers.
 *
 * @example
 * placedBlocks(cache, hashes, at).get('runner-0') ?? 0; // 2
 */
export function placedBlocks(
  { recent, earlier }: PeerCache,
  hashes: readonly number[],
  at: number,
): ReadonlyMap<string, number> {
  const oldest = at - LIFETIME_MILLISECONDS;
  const blocks = new Map<string, number>();
  hashes.forEach((hash, depth) =>
    [recent, earlier].forEach((part) =>
      part.get(hash)?.forEach((placedAt, serverId) => {
        if (placedAt >= oldest) {
          blocks.set(serverId, depth + 1);
        }
      }),
    ),
  );
  return blocks;
}

/** Drops the earlier generation when all its entries have expired. */
export function prunePeerCache(cache: PeerCache, at: number): PeerCache {
  return at - cache.startedAt > LIFETIME_MILLISECONDS
    ? { recent: EMPTY_PLACED_AT, earlier: cache.recent, startedAt: at }
    : cache;
}

const NO_SERVERS = immutable.Map<string, number>();

/** A busy engine evicts unused prefixes from its memory in about this time. */
const LIFETIME_MILLISECONDS = 10_000;
