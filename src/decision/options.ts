import type * as admission from '../admission';

/** Location of a daemon, seed of its random choices, and its part of the budgets that daemons share. */
export interface DecisionOptions {
  readonly seed: number;
  readonly zone: string;
  readonly region: string;
  /** Limits of the retries of all daemons, for each service. */
  readonly retryLimits?: admission.RetryLimits;
  /** Number of daemons that share the slack of the retry limits; unknown at first if it is absent. */
  readonly daemons?: number;
  /** Monotonic time in milliseconds before which an earlier process of this daemon may have used its part. */
  readonly retrySlackFrom?: number;
  readonly hedgeBudget?: admission.Budget;
}
