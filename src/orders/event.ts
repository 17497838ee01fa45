import type * as verdict from '../verdict';
import type * as desiredService from './desired-service';

export enum OrderEventKind {
  BecameLeader = 'became-leader',
  LostLeadership = 'lost-leadership',
  HistoryRead = 'history-read',
  DesiredChanged = 'desired-changed',
  ServersChanged = 'servers-changed',
  Observed = 'observed',
  ProbeFailed = 'probe-failed',
  OrderAccepted = 'order-accepted',
  OrderRefused = 'order-refused',
  OrderFailed = 'order-failed',
  Tick = 'tick',
}

interface EventBase {
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** This daemon's replica leads the control group in `term`. */
export interface BecameLeader extends EventBase {
  readonly kind: OrderEventKind.BecameLeader;
  readonly term: number;
}

export interface LostLeadership extends EventBase {
  readonly kind: OrderEventKind.LostLeadership;
}

/** An order of an earlier leader that may not have ended. */
export interface EarlierOrder {
  readonly serverId: string;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  readonly expectedOrders?: number;
  /** Monotonic time in milliseconds at which this daemon learned that the order would be sent. */
  readonly recordedAt: number;
}

/** All orders of earlier leaders are known from `knownSince` on. */
export interface HistoryRead extends EventBase {
  readonly kind: OrderEventKind.HistoryRead;
  readonly term: number;
  /** Monotonic time in milliseconds. */
  readonly knownSince: number;
  readonly orders: readonly EarlierOrder[];
}

/** Replaces the desired state of all model services. */
export interface DesiredChanged extends EventBase {
  readonly kind: OrderEventKind.DesiredChanged;
  readonly services: readonly desiredService.DesiredService[];
}

/** A live engine in the list of the membership task. */
export interface ListedEngine {
  readonly id: string;
  readonly service: string;
  readonly suspected: boolean;
  /** Weights version of the last probe, if any. */
  readonly weightsVersion?: string;
}

/** Replaces the list of live engines. */
export interface ServersChanged extends EventBase {
  readonly kind: OrderEventKind.ServersChanged;
  readonly engines: readonly ListedEngine[];
}

/** An engine answered a read-back. */
export interface Observed extends EventBase {
  readonly kind: OrderEventKind.Observed;
  readonly serverId: string;
  /** Monotonic time in milliseconds at which the read-back started. */
  readonly startedAt: number;
  /** Absent if the answer does not name the run of the engine's process. */
  readonly incarnation?: string;
  /** Absent if the engine does not name its weights. */
  readonly weightsVersion?: string;
  /** Absent if the engine does not report whether it is loading weights. */
  readonly loading?: boolean;
  /** Number of orders that the engine has accepted; absent if it does not report it. */
  readonly acceptedOrders?: number;
}

/** A read-back was not answered. */
export interface ProbeFailed extends EventBase {
  readonly kind: OrderEventKind.ProbeFailed;
  readonly serverId: string;
}

interface OrderAnswer extends EventBase {
  readonly serverId: string;
  readonly orderId: number;
}

export interface OrderAccepted extends OrderAnswer {
  readonly kind: OrderEventKind.OrderAccepted;
}

/** The engine refused the order because it has accepted a higher fencing number. */
export interface OrderRefused extends OrderAnswer {
  readonly kind: OrderEventKind.OrderRefused;
}

/** The order was not answered. Unless the verdict is "not run", the engine may still execute it. */
export interface OrderFailed extends OrderAnswer {
  readonly kind: OrderEventKind.OrderFailed;
  readonly verdict: verdict.Verdict;
}

export interface Tick extends EventBase {
  readonly kind: OrderEventKind.Tick;
  /** End of the leader lease: until this monotonic time no other daemon can lead. */
  readonly leaseEndsAt: number;
}

export type OrderEvent =
  | BecameLeader
  | LostLeadership
  | HistoryRead
  | DesiredChanged
  | ServersChanged
  | Observed
  | ProbeFailed
  | OrderAccepted
  | OrderRefused
  | OrderFailed
  | Tick;
