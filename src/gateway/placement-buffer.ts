import * as clock from '../clock';
import * as placement from '../placement';

/** Collects which prefixes were sent to which servers, for the next message to other daemons. */
export class PlacementBuffer {
  private pending = new Map<string, Set<number>>();

  private pendingCount = 0;

  /** When each pair of server and prefix was added last. */
  private readonly addedAt = new Map<string, number>();

  constructor(
    private readonly time: clock.Clock,
    private readonly maximumHashes = MAXIMUM_HASHES,
  ) {}

  /** Adds prefixes that were sent to a server, except those added shortly before. */
  add({ serverId, hashes }: placement.PrefixPlacement): void {
    const now = this.time.monotonic();
    hashes.forEach((hash) => {
      const key = `${serverId}/${hash}`;
      const isRepeated = now - (this.addedAt.get(key) ?? -Infinity) < REPEAT_MILLISECONDS;
      if (!isRepeated && this.pendingCount < this.maximumHashes) {
        this.addedAt.set(key, now);
        this.pendingCount += 1;
        this.pending.set(serverId, (this.pending.get(serverId) ?? new Set()).add(hash));
      }
    });
  }

  /** Removes and returns everything that was added since the last call. */
  drain(): readonly placement.PrefixPlacement[] {
    const placements = [...this.pending].map(([serverId, hashes]) => ({
      serverId,
      hashes: [...hashes],
    }));
    this.pending = new Map();
    this.pendingCount = 0;
    this.removeExpired();
    return placements;
  }

  private removeExpired(): void {
    const oldest = this.time.monotonic() - REPEAT_MILLISECONDS;
    this.addedAt.forEach((at, key) => {
      if (at < oldest) {
        this.addedAt.delete(key);
      }
    });
  }
}

/** Five messages a second with this many hashes of 5 bytes stay below 4 KB/s, whatever the load. */
const MAXIMUM_HASHES = 128;

/** A third of the time after which peers drop a placement that they received. */
const REPEAT_MILLISECONDS = 3_000;
