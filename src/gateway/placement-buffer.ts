import * as clock from '../clock';
import * as placement from '../placement';

/** Collects which prefixes went to which servers, for a message to other daemons. */
export class PlacementBuffer {
  private waiting = new Map<string, Set<number>>();

  private waitingCount = 0;

  /** When each placing was told last. */
  private readonly toldAt = new Map<string, number>();

  constructor(
    private readonly time: clock.Clock,
    private readonly maximumHashes = MAXIMUM_HASHES,
  ) {}

  /** Notes prefixes that were sent to a server; those that were told a moment ago are left out. */
  add({ serverId, hashes }: placement.PrefixPlacement): void {
    const now = this.time.monotonic();
    hashes.forEach((hash) => {
      const name = `${serverId}/${hash}`;
      const isTold = now - (this.toldAt.get(name) ?? -Infinity) < REPEAT_MILLISECONDS;
      if (!isTold && this.waitingCount < this.maximumHashes) {
        this.toldAt.set(name, now);
        this.waitingCount += 1;
        this.waiting.set(serverId, (this.waiting.get(serverId) ?? new Set()).add(hash));
      }
    });
  }

  /** Returns what was noted since the last call. */
  drain(): readonly placement.PrefixPlacement[] {
    const placings = [...this.waiting].map(([serverId, hashes]) => ({
      serverId,
      hashes: [...hashes],
    }));
    this.waiting = new Map();
    this.waitingCount = 0;
    this.forgetOld();
    return placings;
  }

  private forgetOld(): void {
    const oldest = this.time.monotonic() - REPEAT_MILLISECONDS;
    this.toldAt.forEach((at, name) => {
      if (at < oldest) {
        this.toldAt.delete(name);
      }
    });
  }
}

/** Five messages a second with so many hashes of 5 bytes stay below 4 KB/s, whatever the load. */
const MAXIMUM_HASHES = 128;

/** A third of the time for which peers believe a placing. */
const REPEAT_MILLISECONDS = 3_000;
