import * as placement from '../placement';
import type * as event from './event';
import type * as state from './state';
import type * as steps from './step';

/**
 * What the servers have of one prompt, from what this daemon and its peers have sent to them. Made for one
 * request and one moment, so that the prompt's prefixes are looked up once and not for each server.
 */
export class CachedPrefixLookup {
  private readonly index: placement.PrefixIndex;

  private readonly peerCache: placement.PeerCache;

  private readonly at: number;

  private readonly chain: readonly string[];

  /** By weights version, since the names of prefixes differ with it. */
  private readonly placed = new Map<string, ReadonlyMap<string, number>>();

  constructor(step: steps.Step, { prefixChain }: event.RequestProfile) {
    this.index = step.state.index;
    this.peerCache = step.state.peerCache;
    this.at = step.at;
    this.chain = prefixChain;
  }

  /** Pieces at the start of the prompt that a server has. */
  cachedBlocks({ record, incarnation }: state.ServerState): number {
    const { index, chain, at } = this;
    const own = placement.cachedBlocks(index, record.id, incarnation, chain, at);
    return placement.isPeerCacheEmpty(this.peerCache) || own >= chain.length - 1
      ? own
      : Math.max(own, this.placedBy(record.weightsVersion ?? '').get(record.id) ?? 0);
  }

  private placedBy(weightsVersion: string): ReadonlyMap<string, number> {
    const known = this.placed.get(weightsVersion);
    if (known !== undefined) {
      return known;
    }
    const hashes = sharedHashes(weightsVersion, this.chain);
    const found = placement.placedBlocks(this.peerCache, hashes, this.at);
    this.placed.set(weightsVersion, found);
    return found;
  }
}

/** The short names of the prefixes that other requests may share; the last part of a prompt is its own. */
export function sharedHashes(weightsVersion: string, prefixChain: readonly string[]): number[] {
  return prefixChain.slice(0, -1).map((key) => placement.prefixHash(weightsVersion, key));
}
