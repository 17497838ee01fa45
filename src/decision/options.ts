import type * as admission from '../admission';

/** Where a daemon runs, the seed of its random choices, and its part of budgets that daemons share. */
export interface DecisionOptions {
  readonly seed: number;
  readonly zone: string;
  readonly region: string;
  readonly retryBudget?: admission.Budget;
  readonly hedgeBudget?: admission.Budget;
}
