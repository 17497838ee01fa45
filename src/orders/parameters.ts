/** Times and limits of the order core. */
export interface OrderParameters {
  /** Longest time for which an earlier leader may still send orders after this one was elected. */
  readonly longestLeaseMilliseconds: number;
  /** Longest time from the decision to send an order to the end of its execution. */
  readonly longestOrderMilliseconds: number;
  /** Time for which a new leader sends no orders; by default the sum of the longest lease and the longest order. */
  readonly settleMilliseconds?: number;
  /** Highest number of concurrent weight loads over all services. */
  readonly maximumLoads: number;
  /** Fraction of the servers that may load concurrently; used if it allows more than `maximumLoads`. */
  readonly loadFraction: number;
  /**
   * Age of a desired version from which daemons send no requests to engines with older weights. Such engines are
   * ordered at once, even beyond the limit on concurrent loads. Absent if daemons keep using them.
   */
  readonly graceMilliseconds?: number;
  /** Time between two read-backs of one server. */
  readonly probeMilliseconds: number;
  /** Age above which an observation is too old to base an order on. */
  readonly observationMilliseconds: number;
  /** Time until a server gets another order or read-back after a failed one. */
  readonly retryMilliseconds: number;
}

/** Default values of a daemon. */
export const DEFAULT_PARAMETERS: OrderParameters = {
  // One election timeout; the lease itself is a fifth shorter (`replica.leaseRemaining`).
  longestLeaseMilliseconds: 500,
  // At most 2 s until the management call is answered or its connection destroyed, and 0.4 s for a load. The
  // rest is a margin for a slow weight store.
  longestOrderMilliseconds: 5_000,
  // Concurrent loads slow each other down, and each one takes a server out of service.
  maximumLoads: 2,
  loadFraction: 0,
  probeMilliseconds: 100,
  observationMilliseconds: 1_000,
  retryMilliseconds: 1_000,
};
