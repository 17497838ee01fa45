import * as backend from '../backend';
import * as clock from '../clock';

/** Owner of cache entries; entries of another team or of other weights are never used. */
export interface CacheOwner {
  readonly team: string;
  readonly weightsVersion: string;
}

/** Limits of an engine's prefix cache. */
export interface CacheLimits {
  readonly maximumBlocks: number;
  /** Time after the last use at which a block is evicted. */
  readonly keepMilliseconds: number;
}

interface Entry {
  readonly chainHash: string;
  readonly evictAt: number;
}

/** Prefix cache of an emulated engine: evicts blocks that are least recently used or unused for too long. */
export class PromptCache {
  /** In order of last use, since a map iterates in order of insertion. */
  private entries = new Map<string, Entry>();

  constructor(
    private readonly limits: CacheLimits,
    private readonly time: clock.Clock,
    private readonly onChange: (kind: backend.CacheEventKind, chainHash: string) => void,
  ) {}

  get blocks(): number {
    return this.entries.size;
  }

  /** Number of leading blocks of a chain that are cached; marks these blocks as used. */
  lookUp(owner: CacheOwner, chain: readonly string[]): number {
    this.evictOld();
    const missing = chain.findIndex((chainHash) => !this.entries.has(entryKey(owner, chainHash)));
    const found = missing < 0 ? chain.length : missing;
    this.touch(owner, chain.slice(0, found));
    return found;
  }

  /** Caches all blocks of a chain. */
  store(owner: CacheOwner, chain: readonly string[]): void {
    chain
      .filter((chainHash) => !this.entries.has(entryKey(owner, chainHash)))
      .forEach((chainHash) => this.onChange(backend.CacheEventKind.Stored, chainHash));
    this.touch(owner, chain);
    this.evictOld();
  }

  clear(): void {
    [...this.entries.keys()].forEach((key) => this.evict(key));
  }

  /** Evicts blocks that were unused for too long, and the oldest ones above the limit. */
  evictOld(): void {
    const now = this.time.monotonic();
    let excess = this.entries.size - this.limits.maximumBlocks;
    [...this.entries].forEach(([key, entry]) => {
      if (excess > 0 || entry.evictAt <= now) {
        this.evict(key);
        excess -= 1;
      }
    });
  }

  /** Marks the shortest prefix as used last, so that a chain is evicted from its end. */
  private touch(owner: CacheOwner, chain: readonly string[]): void {
    const evictAt = this.time.monotonic() + this.limits.keepMilliseconds;
    [...chain].reverse().forEach((chainHash) => {
      const key = entryKey(owner, chainHash);
      this.entries.delete(key);
      this.entries.set(key, { chainHash, evictAt });
    });
  }

  private evict(key: string): void {
    const entry = this.entries.get(key);
    if (this.entries.delete(key) && entry !== undefined) {
      this.onChange(backend.CacheEventKind.Evicted, entry.chainHash);
    }
  }
}

function entryKey(owner: CacheOwner, chainHash: string): string {
  return JSON.stringify([owner.team, owner.weightsVersion, chainHash]);
}
