/** Times and bounds of the order core. */
export interface OrderParameters {
  /** Upper bound of the time for which an earlier leader may still send after this one was elected. */
  readonly longestLeaseMilliseconds: number;
  /** Upper bound of the time from the decision to send an order to the end of its execution. */
  readonly longestOrderMilliseconds: number;
  /** Time for which a new leader sends nothing; by default the longest lease and the longest order. */
  readonly settleMilliseconds?: number;
  /** Weight loads in execution at the same time, over all services. */
  readonly maximumLoads: number;
  /** Part of the servers that may load at the same time where this is more than `maximumLoads`. */
  readonly loadFraction: number;
  /**
   * Age of a naming from which daemons give no work to engines with older weights. Such engines are ordered at once,
   * beyond the bounds on loads. Absent where daemons go on to use them.
   */
  readonly graceMilliseconds?: number;
  /** Time between two read-backs of one server. */
  readonly probeMilliseconds: number;
  /** Age above which an observation is no reason for an order. */
  readonly observationMilliseconds: number;
  /** Time until a server gets another order, or another read-back, after one that failed. */
  readonly retryMilliseconds: number;
}

/** The values of the daemon. */
export const DEFAULT_PARAMETERS: OrderParameters = {
  // An election timeout; the lease itself is a fifth shorter (`replica.leaseRemaining`).
  longestLeaseMilliseconds: 500,
  // At most 2 s until the management call is answered or its connection destroyed, and a load of 0.4 s. The
  // rest allows for a slow weight store.
  longestOrderMilliseconds: 5_000,
  // Loads get slower when more run at once, and every load takes a runner out of service.
  maximumLoads: 2,
  loadFraction: 0,
  probeMilliseconds: 100,
  observationMilliseconds: 1_000,
  retryMilliseconds: 1_000,
};
