/** Credit for hedges or probes, of which each request earns a fixed fraction. */
export interface Budget {
  readonly credit: number;
  /** Credit earned by each request. */
  readonly ratio: number;
  /** Limit of the credit, so that a time without them does not pay for a burst. */
  readonly maximum: number;
}

/** Hedges are less than 5% of the requests. */
export const HEDGE_BUDGET: Budget = { credit: 0, ratio: 0.049, maximum: 6 };

/** Requests that test whether a straggler has recovered; they are rare, because each may be late. */
export const PROBE_BUDGET: Budget = { credit: 0, ratio: 0.004, maximum: 1 };

/** Adds the credit that one request earns. */
export function earn(budget: Budget): Budget {
  return { ...budget, credit: Math.min(budget.maximum, budget.credit + budget.ratio) };
}

/** Whether the credit covers one attempt. */
export function hasCredit(budget: Budget): boolean {
  return budget.credit >= 1;
}

/** Subtracts the credit of one attempt. Call it only when `hasCredit` returns true. */
export function spend(budget: Budget): Budget {
  return { ...budget, credit: budget.credit - 1 };
}
