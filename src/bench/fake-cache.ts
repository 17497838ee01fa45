/** Called for each piece that enters or leaves a cache. */
export type CacheListener = (chainHash: string, stored: boolean) => void;

/** Prefix cache of a fake engine: limited memory, least recently used first out, pieces in use pinned. */
export class FakeCache {
  /** Pieces from least to most recently used. */
  private readonly pieces = new Map<string, true>();

  private readonly pins = new Map<string, number>();

  constructor(
    private readonly capacityPieces: number,
    private readonly listener: CacheListener,
  ) {}

  /** The number of pieces at the start of the chain that are cached. */
  depth(chain: readonly string[]): number {
    const missing = chain.findIndex((hash) => !this.pieces.has(hash));
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

  /** Deeper pieces are touched first, so that they are evicted before the prefixes they need. */
  private touch(chain: readonly string[]): void {
    [...chain].reverse().forEach((hash) => {
      if (!this.pieces.delete(hash)) {
        this.listener(hash, true);
      }
      this.pieces.set(hash, true);
    });
  }

  private evict(): void {
    if (this.pieces.size <= this.capacityPieces) {
      return;
    }
    for (const hash of this.pieces.keys()) {
      if (this.pieces.size <= this.capacityPieces) {
        return;
      }
      if (!this.pins.has(hash)) {
        this.pieces.delete(hash);
        this.listener(hash, false);
      }
    }
  }
}
