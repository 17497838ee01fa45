import * as backend from '../backend';
import * as clock from '../clock';

/** Faults in the publication of an engine's cache events. */
export interface CacheEventFaults {
  readonly delayMilliseconds: number;
  /** Every event whose sequence number is a multiple of this is lost; 0 loses none. */
  readonly loseEvery: number;
}

/** Cache events of one incarnation, published late and with gaps. */
export class CacheEventLog {
  private readonly events: { readonly visibleAt: number; readonly event: backend.CacheEvent }[] =
    [];

  private lastSequence = 0;

  constructor(
    private readonly faults: CacheEventFaults,
    private readonly time: clock.Clock,
  ) {}

  add(kind: backend.CacheEventKind, chainHash: string): void {
    this.lastSequence += 1;
    const lost = this.faults.loseEvery > 0 && this.lastSequence % this.faults.loseEvery === 0;
    if (!lost) {
      const event = { sequence: this.lastSequence, kind, chainHash };
      const visibleAt = this.time.monotonic() + this.faults.delayMilliseconds;
      this.events.push({ visibleAt, event });
    }
    if (this.events.length > MAXIMUM_EVENTS) {
      this.events.splice(0, this.events.length - MAXIMUM_EVENTS);
    }
  }

  /** The page of published events with sequence numbers greater than `after`. */
  page(incarnation: string, after: number): backend.CacheEventPage {
    const now = this.time.monotonic();
    const events = this.events
      .filter((entry) => entry.visibleAt <= now && entry.event.sequence > after)
      .slice(0, PAGE_EVENTS)
      .map((entry) => entry.event);
    const nextSequence = events.at(-1)?.sequence ?? after;
    return { incarnation, events, nextSequence };
  }
}

const MAXIMUM_EVENTS = 10_000;
const PAGE_EVENTS = 1_000;
