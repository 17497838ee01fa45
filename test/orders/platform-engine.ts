/** What an engine tells of itself, from a time on. */
interface Report {
  readonly from: number;
  readonly weightsVersion: string;
  readonly loading: boolean;
  /** Orders that were accepted. */
  readonly accepted: number;
}

/** An order that has arrived or is still on its way. */
export interface SentOrder {
  readonly fencingNumber: number;
  /** Orders that the engine had accepted when the order was made; it is refused at any other count. */
  readonly expected: number;
  readonly weightsVersion: string;
  readonly endsAt: number;
}

/**
 * An engine of the platform in virtual time: it carries out one order at a time, refuses orders that were made
 * for another count of orders, and tells what held a while ago.
 */
export class PlatformEngine {
  executing: SentOrder | undefined;

  private accepted = 0;

  private highestFencingNumber = 0;

  private reports: Report[] = [
    { from: -Infinity, weightsVersion: '1', loading: false, accepted: 0 },
  ];

  constructor(
    readonly id: string,
    private readonly lagMilliseconds: number,
  ) {}

  get weightsVersion(): string {
    return this.reports.at(-1)!.weightsVersion;
  }

  /** Returns whether the engine accepts the order. */
  receive(order: SentOrder, now: number): boolean {
    const isCurrent =
      order.fencingNumber >= this.highestFencingNumber && order.expected === this.accepted;
    if (this.executing !== undefined || !isCurrent) {
      return false;
    }
    this.highestFencingNumber = order.fencingNumber;
    this.accepted += 1;
    this.executing = order;
    this.tell(now, this.weightsVersion, true);
    return true;
  }

  advance(now: number): void {
    if (this.executing !== undefined && this.executing.endsAt <= now) {
      this.tell(now, this.executing.weightsVersion, false);
      this.executing = undefined;
    }
  }

  report(now: number): Report {
    return this.reports.filter(({ from }) => from <= now - this.lagMilliseconds).at(-1)!;
  }

  private tell(from: number, weightsVersion: string, loading: boolean): void {
    const { accepted } = this;
    this.reports = [
      ...this.reports.slice(-KEPT_REPORTS),
      { from, weightsVersion, loading, accepted },
    ];
  }
}

const KEPT_REPORTS = 8;
