/** Where a daemon runs and the seed of its random choices. */
export interface DecisionOptions {
  readonly seed: number;
  readonly zone: string;
  readonly region: string;
}
