/** An order as an engine receives it. */
export interface ArrivingOrder {
  /** Term of the issuer that sent the order, whatever fencing number the order contains. */
  readonly issuedTerm: number;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  readonly endsAt: number;
}

/** An engine in virtual time that executes concurrent orders at once and records violations. */
export class ModelledEngine {
  weightsVersion = 'v0';

  executing: readonly ArrivingOrder[] = [];

  readonly violations: string[] = [];

  private highestNumber = 0;

  private highestTerm = 0;

  constructor(
    readonly id: string,
    readonly service: string,
    private readonly checksFencing: boolean,
    private readonly reportsLoading: boolean,
  ) {}

  get loading(): boolean | undefined {
    return this.reportsLoading ? this.executing.length > 0 : undefined;
  }

  /** Returns false when the engine refuses the order as stale. */
  receive(order: ArrivingOrder): boolean {
    if (this.checksFencing && order.fencingNumber < this.highestNumber) {
      return false;
    }
    this.checkArrival(order);
    this.highestNumber = Math.max(this.highestNumber, order.fencingNumber);
    this.highestTerm = Math.max(this.highestTerm, order.issuedTerm);
    this.executing = [...this.executing, order];
    return true;
  }

  advance(now: number): void {
    const ended = this.executing.filter((order) => order.endsAt <= now);
    ended.forEach((order) => {
      this.weightsVersion = order.weightsVersion;
    });
    if (ended.length > 0) {
      this.executing = this.executing.filter((order) => order.endsAt > now);
    }
  }

  private checkArrival(order: ArrivingOrder): void {
    if (this.executing.some(({ issuedTerm }) => issuedTerm !== order.issuedTerm)) {
      this.violations.push(`${this.id}: orders of two issuers`);
    } else if (this.executing.length > 0) {
      this.violations.push(`${this.id}: two orders at once`);
    }
    if (order.issuedTerm < this.highestTerm) {
      this.violations.push(`${this.id}: stale order`);
    }
  }
}
