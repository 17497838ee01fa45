/** What a backend server says of itself on a new connection. */
export interface ProbeReport {
  readonly incarnation: string;
  /** Empty for a plain service. */
  readonly weightsVersion: string;
  readonly leaving: boolean;
  /** Whether the engine loads weights at the moment; absent when it does not say. */
  readonly loading?: boolean;
}
