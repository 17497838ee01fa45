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

/** Order the engine to load weights. Exactly one answer event has to follow. */
export interface SendOrder {
  readonly kind: OrderEffectKind.SendOrder;
  readonly serverId: string;
  readonly orderId: number;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  /** The end of the lease. An order that cannot be sent before it is dropped as "not run". */
  readonly sendBefore: number;
  readonly reason: OrderReason;
  /** Age of the oldest naming that the engine has not followed, where it is known. */
  readonly namingAgeMilliseconds?: number;
}

/** Probe the engine. `Observed` or `ProbeFailed` has to follow. */
export interface ReadBack {
  readonly kind: OrderEffectKind.ReadBack;
  readonly serverId: string;
}

/** What operators may want to know about an order. */
export enum OrderNotice {
  Switched = 'engine serves the ordered weights',
  RefusedAsStale = 'engine refused an order because it has seen a higher fencing number',
  NotRun = 'order was not sent; it is tried again later',
  OutcomeUnknown = 'outcome of an order is unknown; the engine is read back',
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
