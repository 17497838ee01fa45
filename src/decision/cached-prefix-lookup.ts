import * as placement from '../placement';
import type * as event from './event';
import type * as state from './state';
import type * as steps from './step';

/** The lookup for a prompt, which all comparisons of servers for one event share. */
export function lookupOf(step: steps.Step, profile: event.RequestProfile): CachedPrefixLookup {
  const { index, peerCache } = step.state;
  return step.memoize(
    `cache/${profile.requestId}`,
    [index, peerCache],
    () => new CachedPrefixLookup(step, profile),
  );
}

/**
 * Estimates how much of one prompt each server has cached, from the prompts that this daemon and its peers
 * have sent there. An instance serves one request at one moment, so that it looks up the prompt's prefixes
 * once and not for each server.
 */
export class CachedPrefixLookup {
  private readonly index: placement.PrefixIndex;

  private readonly peerCache: placement.PeerCache;

  private readonly at: number;

  private readonly chain: readonly string[];

  /** By weights version, which is part of the hash of a prefix. */
  private readonly placedByVersion = new Map<string, ReadonlyMap<string, number>>();

  constructor(step: steps.Step, { prefixChain }: event.RequestProfile) {
    this.index = step.state.index;
    this.peerCache = step.state.peerCache;
    this.at = step.at;
    this.chain = prefixChain;
  }

  /** Blocks at the start of the prompt that a server probably has cached. */
  cachedBlocks({ record, incarnation }: state.ServerState): number {
    const { index, chain, at } = this;
    const own = placement.cachedBlocks(index, record.id, incarnation, chain, at);
    const { weightsVersion } = record;
    const isOwnEnough = placement.isPeerCacheEmpty(this.peerCache) || own >= chain.length - 1;
    return isOwnEnough || weightsVersion === undefined
      ? own
      : Math.max(own, this.placedBlocks(weightsVersion).get(record.id) ?? 0);
  }

  private placedBlocks(weightsVersion: string): ReadonlyMap<string, number> {
    const previous = this.placedByVersion.get(weightsVersion);
    if (previous !== undefined) {
      return previous;
    }
    const hashes = sharedPrefixHashes(weightsVersion, this.chain);
    const found = placement.placedBlocks(this.peerCache, hashes, this.at);
    this.placedByVersion.set(weightsVersion, found);
    return found;
  }
}

/** Hashes of the prefixes that other requests may share; the last block of a prompt is never shared. */
export function sharedPrefixHashes(
  weightsVersion: string,
  prefixChain: readonly string[],
): number[] {
  return prefixChain.slice(0, -1).map((key) => placement.prefixHash(weightsVersion, key));
}
