/** Load of a backend server, measured by the server `ageMilliseconds` before it sent the report. */
export interface LoadReport {
  readonly incarnation: string;
  /** Empty for a plain service. */
  readonly weightsVersion: string;
  /** Age of the measurement when it was sent. */
  readonly ageMilliseconds: number;
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Uncached prompt tokens that wait for prefill; 0 for a plain service. */
  readonly queuedPrefillTokens: number;
}
