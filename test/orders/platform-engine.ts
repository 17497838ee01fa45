/** What an engine reports about itself from a point in time on. */
interface Report {
  readonly from: number;
  readonly weightsVersion: string;
  readonly loading: boolean;
  /** Number of accepted orders. */
  readonly accepted: number;
}

/** An order that has arrived or is in transit. */
export interface SentOrder {
  readonly fencingNumber: number;
  /** Number of orders that the engine must have accepted before, if the order names one; otherwise it is refused. */
  readonly expected: number | undefined;
  readonly weightsVersion: string;
  readonly endsAt: number;
}

/**
 * An engine of the platform in virtual time: it executes one order at a time, refuses orders that expect another number
 * of accepted orders, and its reports are some time old.
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
    private readonly reportAgeMilliseconds: number,
  ) {}

  /** Whether the engine would still accept an order that expects this number of accepted orders. */
  mayAccept(expected: number | undefined): boolean {
    return expected === undefined || expected >= this.accepted;
  }

  get weightsVersion(): string {
    return this.reports.at(-1)!.weightsVersion;
  }

  /** Returns whether the engine accepts the order. */
  receive(order: SentOrder, now: number): boolean {
    const isCurrent =
      order.fencingNumber >= this.highestFencingNumber &&
      (order.expected === undefined || order.expected === this.accepted);
    if (this.executing !== undefined || !isCurrent) {
      return false;
    }
    this.highestFencingNumber = order.fencingNumber;
    this.accepted += 1;
    this.executing = order;
    this.addReport(now, this.weightsVersion, true);
    return true;
  }

  advance(now: number): void {
    if (this.executing !== undefined && this.executing.endsAt <= now) {
      this.addReport(now, this.executing.weightsVersion, false);
      this.executing = undefined;
    }
  }

  report(now: number): Report {
    return this.reports.filter(({ from }) => from <= now - this.reportAgeMilliseconds).at(-1)!;
  }

  private addReport(from: number, weightsVersion: string, loading: boolean): void {
    const { accepted } = this;
    this.reports = [
      ...this.reports.slice(-KEPT_REPORTS),
      { from, weightsVersion, loading, accepted },
    ];
  }
}

const KEPT_REPORTS = 8;
