/** Answer of a backend server to a probe. */
export interface ProbeReport {
  readonly incarnation: string;
  /** Empty for a plain service. */
  readonly weightsVersion: string;
  readonly leaving: boolean;
  /** Whether the engine is loading weights; absent if it does not report this. */
  readonly loading?: boolean;
}
