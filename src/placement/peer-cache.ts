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
 * Where other daemons have sent prefixes. What was learned lies in two parts, the older of which is dropped as a
 * whole: looking for old entries one by one would take longer than everything else that is done with them.
 */
export interface PeerCache {
  readonly recent: PlacedAt;
  readonly earlier: PlacedAt;
  /** When `recent` was begun. */
  readonly begunAt: number;
}

const NOTHING: PlacedAt = immutable.Map<number, immutable.Map<string, number>>();

export const EMPTY_PEER_CACHE: PeerCache = { recent: NOTHING, earlier: NOTHING, begunAt: 0 };

/**
 * A short name of a prefix for messages. Two prefixes may have the same one: what follows from it may only be
 * an attempt to copy cached parts, which servers compare in full.
 *
 * @example
 * prefixHash('3', 'desk-model/8970960c'); // 2_964_013_377
 */
export function prefixHash(weightsVersion: string, chainKey: string): number {
  return rendezvous.hashText(`${weightsVersion}/${chainKey}`);
}

/**
 * Load pattern: several daemons send requests with nested prefixes. The outer prefix is at many servers and
 * the inner one at a few, but each daemon knows only its own requests, so that it has prefixes read again
 * that a server could copy from another one. Daemons therefore tell each other where prefixes were sent.
 */
export function learnPlacements(
  cache: PeerCache,
  placings: readonly PrefixPlacement[],
  at: number,
): PeerCache {
  const recent = cache.recent.withMutations((mutable) => {
    placings.forEach(({ serverId, hashes }) =>
      hashes.forEach((hash) => mutable.set(hash, mutable.get(hash, NOWHERE).set(serverId, at))),
    );
  });
  return recent === cache.recent ? cache : { ...cache, recent };
}

/** Whether nothing is known. */
export function isPeerCacheEmpty({ recent, earlier }: PeerCache): boolean {
  return recent.isEmpty() && earlier.isEmpty();
}

/**
 * The number of prefixes at the start of a chain that peers have sent to each server, for servers that were
 * sent any. For one chain and many servers, this looks up each prefix once.
 *
 * @example
 * placedPieces(cache, hashes, at).get('runner-0') ?? 0; // 2
 */
export function placedBlocks(
  { recent, earlier }: PeerCache,
  hashes: readonly number[],
  at: number,
): ReadonlyMap<string, number> {
  const oldest = at - LIFETIME_MILLISECONDS;
  const pieces = new Map<string, number>();
  hashes.forEach((hash, depth) =>
    [recent, earlier].forEach((part) =>
      part.get(hash)?.forEach((placedAt, serverId) => {
        if (placedAt >= oldest) {
          pieces.set(serverId, depth + 1);
        }
      }),
    ),
  );
  return pieces;
}

/** Drops entries that are all too old to be believed. */
export function prunePeerCache(cache: PeerCache, at: number): PeerCache {
  return at - cache.begunAt > LIFETIME_MILLISECONDS
    ? { recent: NOTHING, earlier: cache.recent, begunAt: at }
    : cache;
}

const NOWHERE = immutable.Map<string, number>();

/** Prefixes that are not used leave a busy engine's memory in about this time. */
const LIFETIME_MILLISECONDS = 10_000;
