import * as immutable from 'immutable';
import * as rendezvous from './rendezvous';

/** Prefixes that one daemon has sent to a server. */
export interface Placing {
  readonly serverId: string;
  /** See `prefixHash`. */
  readonly hashes: readonly number[];
}

/** When each server was last sent a prefix by other daemons, by the hash of the prefix. */
export type PeerCache = immutable.Map<number, immutable.Map<string, number>>;

export const EMPTY_PEER_CACHE: PeerCache = immutable.Map<number, immutable.Map<string, number>>();

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
export function learnPlacings(
  cache: PeerCache,
  placings: readonly Placing[],
  at: number,
): PeerCache {
  return cache.withMutations((mutable) => {
    placings.forEach(({ serverId, hashes }) =>
      hashes.forEach((hash) =>
        mutable.update(hash, immutable.Map<string, number>(), (servers) =>
          servers.set(serverId, at),
        ),
      ),
    );
  });
}

/** The number of prefixes at the start of a chain that peers have sent to a server. */
export function placedPieces(
  cache: PeerCache,
  serverId: string,
  hashes: readonly number[],
  at: number,
): number {
  const oldest = at - LIFETIME_MILLISECONDS;
  return (
    1 + hashes.findLastIndex((hash) => (cache.get(hash)?.get(serverId) ?? -Infinity) >= oldest)
  );
}

/** Removes entries too old to be believed. */
export function prunePeerCache(cache: PeerCache, at: number): PeerCache {
  const oldest = at - LIFETIME_MILLISECONDS;
  return cache
    .map((servers) => servers.filter((placedAt) => placedAt >= oldest))
    .filter((servers) => !servers.isEmpty());
}

/** Prefixes that are not used leave a busy engine's memory in about this time. */
const LIFETIME_MILLISECONDS = 10_000;
