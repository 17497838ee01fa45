import * as clock from '../clock';
import type * as command from './command';

/** An order to an engine that a leader has recorded before sending it. */
export interface RecordedOrder extends command.AnnouncedOrder {
  /** Monotonic time in milliseconds at which this daemon applied the record. */
  readonly recordedAt: number;
}

/** The orders that the replicated log has shown to this daemon. */
export interface OrderHistory {
  /** Monotonic time in milliseconds from which on the history is complete. */
  readonly knownSince: number;
  readonly orders: readonly RecordedOrder[];
}

/** Remembers the last recorded order of each engine for as long as a later leader has to take it into account. */
export class OrderRecorder {
  private knownSince: number;

  private orders = new Map<string, RecordedOrder>();

  constructor(private readonly time: clock.Clock) {
    this.knownSince = time.monotonic();
  }

  get history(): OrderHistory {
    return { knownSince: this.knownSince, orders: [...this.orders.values()] };
  }

  record(announced: readonly command.AnnouncedOrder[]): void {
    const recordedAt = this.time.monotonic();
    this.orders.forEach((order, serverId) => {
      if (recordedAt - order.recordedAt > RETENTION_MILLISECONDS) {
        this.orders.delete(serverId);
      }
    });
    announced.forEach((order) => this.orders.set(order.serverId, { ...order, recordedAt }));
  }

  /** Forgets everything, because entries were skipped: a snapshot contains no orders. */
  restart(): void {
    this.orders.clear();
    this.knownSince = this.time.monotonic();
  }
}

/** Longer than a lease and the longest order together. */
const RETENTION_MILLISECONDS = 60_000;
