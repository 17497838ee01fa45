/** Result of one charge. */
export interface Charge {
  readonly chargeId: string;
  readonly account: string;
  readonly amountCents: number;
  readonly balanceCents: number;
}

/**
 * Accounts of an emulated plain service. It deliberately executes a repeated key again and counts it, so
 * that a test detects a request that ran twice.
 */
export class Ledger {
  private readonly balances = new Map<string, number>();

  private readonly executions = new Map<string, number>();

  private charges = 0;

  /** Adds an amount to an account; counts one execution of the key. */
  charge(key: string, account: string, amountCents: number): Charge {
    const balanceCents = this.balance(account) + amountCents;
    this.balances.set(account, balanceCents);
    this.count(key);
    this.charges += 1;
    return { chargeId: `charge-${this.charges}`, account, amountCents, balanceCents };
  }

  /** Counts an execution that changes no account. */
  count(key: string): void {
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1);
  }

  balance(account: string): number {
    return this.balances.get(account) ?? 0;
  }

  /** Executions by idempotency key, or by request id where a request had no key. */
  executionCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.executions);
  }
}
