/** Answer of a backend server to a probe. */
export interface ProbeReport {
  /** Run of the server's process; absent if the answer does not name it. */
  readonly incarnation?: string;
  /** Absent for a plain service, and if an engine does not name its weights. */
  readonly weightsVersion?: string;
  readonly leaving: boolean;
  /** Whether the engine is loading weights; absent if it does not report this. */
  readonly loading?: boolean;
  /** Number of orders that the engine has accepted since its start; absent if it does not report it. */
  readonly acceptedOrders?: number;
}
