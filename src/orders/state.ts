import * as immutable from 'immutable';
import type * as desiredService from './desired-service';
import * as parametersModule from './parameters';

/** The leadership term in which this daemon sends orders. */
export interface Issuer {
  /** Fencing number of the orders that are sent in this term. */
  readonly term: number;
  /** Monotonic time in milliseconds from which no order of an earlier leader can still be executed. */
  readonly sendFrom: number;
}

/** An order that an engine may be executing. */
export interface PendingOrder {
  readonly orderId: number;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  /** Number of accepted orders that the engine must have reported; absent if the engine reports none. */
  readonly expectedOrders?: number;
  /** Monotonic time in milliseconds at which the execution has ended, whatever the answer was. */
  readonly endsBy: number;
  /** Monotonic time in milliseconds at which the engine's acceptance arrived, if it did. */
  readonly acceptedAt?: number;
  /** Monotonic time in milliseconds at which the call failed without an answer, if it did. */
  readonly unansweredAt?: number;
}

/** The result of a read-back. */
export interface Observation {
  /** Monotonic time in milliseconds at which the read-back started. */
  readonly startedAt: number;
  /** Absent if the answer does not name the run of the engine's process. */
  readonly incarnation?: string;
  /** Absent if the engine did not name its weights. */
  readonly weightsVersion?: string;
  /** Absent if the engine does not report whether it is loading weights. */
  readonly loading?: boolean;
  /** Number of orders that the engine had accepted; absent if it does not report it. */
  readonly acceptedOrders?: number;
}

/** State of one engine in the order core. */
export interface EngineState {
  readonly serverId: string;
  readonly service: string;
  /** False for an engine that is no longer in the membership task's list but may still execute an order. */
  readonly listed: boolean;
  readonly suspected: boolean;
  /** Weights version in the membership task's list; it may be older than the observation. */
  readonly listedWeights?: string;
  readonly observation?: Observation;
  readonly order?: PendingOrder;
  /** Earliest monotonic time in milliseconds of the next order, and of the observation that it is based on. */
  readonly nextOrderAt: number;
  readonly nextProbeAt: number;
  readonly probing: boolean;
  /** Term in which the engine refused an order as stale; it gets no other order in that term. */
  readonly refusedTerm: number;
}

/** State of the order core of one daemon. */
export interface OrderState {
  readonly parameters: parametersModule.OrderParameters;
  readonly issuer?: Issuer;
  readonly desired: immutable.Map<string, desiredService.DesiredService>;
  readonly engines: immutable.Map<string, EngineState>;
  readonly nextOrderId: number;
}

/**
 * The state of a daemon that has just started.
 *
 * @example
 * initialState().issuer; // undefined
 */
export function initialState(
  parameters: parametersModule.OrderParameters = parametersModule.DEFAULT_PARAMETERS,
): OrderState {
  return {
    parameters,
    desired: immutable.Map<string, desiredService.DesiredService>(),
    engines: immutable.Map<string, EngineState>(),
    nextOrderId: 1,
  };
}

/** An engine of which nothing is known but its id. */
export function newEngine(serverId: string): EngineState {
  return {
    serverId,
    service: '',
    listed: false,
    suspected: false,
    nextOrderAt: Number.NEGATIVE_INFINITY,
    nextProbeAt: Number.NEGATIVE_INFINITY,
    probing: false,
    refusedTerm: Number.NEGATIVE_INFINITY,
  };
}
