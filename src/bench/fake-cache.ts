/** Called for each block that enters or leaves a cache. */
export type CacheListener = (chainHash: string, stored: boolean) => void;

/** Prefix cache of a fake engine with LRU eviction; blocks in use are pinned. */
export class FakeCache {
  /** Blocks from least to most recently used. */
  private readonly blocks = new Map<string, true>();

  private readonly pins = new Map<string, number>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly listener: CacheListener,
  ) {}

  /** The number of blocks at the start of the chain that are cached. */
  depth(chain: readonly string[]): number {
    const missing = chain.findIndex((hash) => !this.blocks.has(hash));
    return missing < 0 ? chain.length : missing;
  }

  /** Stores a chain and keeps it until `unpin`. */
  pin(chain: readonly string[]): void {
    chain.forEach((hash) => this.pins.set(hash, (this.pins.get(hash) ?? 0) + 1));
    this.touch(chain);
    this.evict();
  }

  unpin(chain: readonly string[]): void {
    chain.forEach((hash) => {
      const count = (this.pins.get(hash) ?? 0) - 1;
      if (count > 0) {
        this.pins.set(hash, count);
      } else {
        this.pins.delete(hash);
      }
    });
    this.evict();
  }

  /** Uses deeper blocks first, so that they are evicted before the prefixes that they extend. */
  private touch(chain: readonly string[]): void {
    [...chain].reverse().forEach((hash) => {
      if (!this.blocks.delete(hash)) {
        this.listener(hash, true);
      }
      this.blocks.set(hash, true);
    });
  }

  private evict(): void {
    if (this.blocks.size <= this.capacityBlocks) {
      return;
    }
    for (const hash of this.blocks.keys()) {
      if (this.blocks.size <= this.capacityBlocks) {
        return;
      }
      if (!this.pins.has(hash)) {
        this.blocks.delete(hash);
        this.listener(hash, false);
      }
    }
  }
}
