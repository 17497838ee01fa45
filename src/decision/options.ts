import type * as admission from '../admission';

/** Location of a daemon, seed of its random choices, and its part of the budgets that daemons share. */
export interface DecisionOptions {
  readonly seed: number;
  readonly zone: string;
  readonly region: string;
  readonly retryBudget?: admission.Budget;
  readonly hedgeBudget?: admission.Budget;
}
