export enum OrderEffectKind {
  SendOrder = 'send-order',
  ReadBack = 'read-back',
  Report = 'report',
}

/** Why an engine is ordered now. */
export enum OrderReason {
  SlotFree = 'place free',
  BelowMinimum = 'below the minimum version',
}

/** Orders the engine to load weights. Exactly one answer event must follow. */
export interface SendOrder {
  readonly kind: OrderEffectKind.SendOrder;
  readonly serverId: string;
  readonly orderId: number;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  /**
   * The engine refuses the order unless it has accepted this many orders, so that of two orders with the same number at
   * most one is carried out. Absent if the engine does not report its number.
   */
  readonly expectedOrders?: number;
  /** End of the leader lease, as a monotonic time in milliseconds. A later order is dropped as "not run". */
  readonly sendBefore: number;
  readonly reason: OrderReason;
  /** Age of the oldest desired version that the engine has not loaded, if that age is known. */
  readonly missedVersionAgeMilliseconds?: number;
}

/** Probes the engine for the weights that it serves. `Observed` or `ProbeFailed` must follow. */
export interface ReadBack {
  readonly kind: OrderEffectKind.ReadBack;
  readonly serverId: string;
}

/** Events of an order that are logged for operators. */
export enum OrderNotice {
  Switched = 'engine serves the ordered weights',
  RefusedAsStale = 'engine refused an order because it has seen a higher fencing number',
  NotRun = 'order was not sent; it is tried again later',
  OutcomeUnknown = 'outcome of an order is unknown; the engine is read back',
  Repeatable = 'engine has not carried out an order without an answer; the next one excludes it',
  NotCarriedOut = 'engine does not serve the ordered weights after the longest order time',
}

export interface Report {
  readonly kind: OrderEffectKind.Report;
  readonly notice: OrderNotice;
  readonly serverId: string;
  readonly weightsVersion: string;
  readonly fencingNumber: number;
}

export type OrderEffect = SendOrder | ReadBack | Report;
