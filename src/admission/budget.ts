/** Credit for optional attempts, earned as a fixed part of requests. */
export interface Budget {
  readonly credit: number;
  /** Credit earned by each request. */
  readonly ratio: number;
  /** More credit than this is not kept, so that a quiet hour does not pay for a storm. */
  readonly maximum: number;
}

/** Retries are at most a tenth of requests; the start credit covers one server's crash. */
export const RETRY_BUDGET: Budget = { credit: 16, ratio: 0.1, maximum: 32 };

/** Hedges stay under 5% of requests. */
export const HEDGE_BUDGET: Budget = { credit: 0, ratio: 0.049, maximum: 6 };

/** Requests that look whether a straggler has recovered; each may be late, so they are rare. */
export const PROBE_BUDGET: Budget = { credit: 0, ratio: 0.004, maximum: 1 };

/** Adds what one request earns. */
export function earn(budget: Budget): Budget {
  return { ...budget, credit: Math.min(budget.maximum, budget.credit + budget.ratio) };
}

/** Whether one attempt can be paid for. */
export function hasCredit(budget: Budget): boolean {
  return budget.credit >= 1;
}

/** Pays for one attempt. Call only when `affordable`. */
export function spend(budget: Budget): Budget {
  return { ...budget, credit: budget.credit - 1 };
}
