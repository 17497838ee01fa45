import * as immutable from 'immutable';
import type * as desiredService from './desired-service';
import * as parametersModule from './parameters';

/** The leadership under which this daemon issues orders. */
export interface Issuer {
  /** The fencing number of its orders. */
  readonly term: number;
  /** When every order of earlier leaders has surely ended. */
  readonly sendFrom: number;
}

/** An order that may be in execution. */
export interface PendingOrder {
  readonly orderId: number;
  readonly fencingNumber: number;
  readonly weightsVersion: string;
  /** When the execution has surely ended, whatever the answer was. */
  readonly endsBy: number;
  /** When the engine's answer arrived, if it accepted the order. */
  readonly acceptedAt?: number;
  /** When the order was given up without an answer. */
  readonly unansweredAt?: number;
}

/** What a probe showed. */
export interface Observation {
  readonly startedAt: number;
  readonly incarnation: string;
  readonly weightsVersion: string;
  /** Absent when the engine does not say whether it is loading weights. */
  readonly loading?: boolean;
}

/** One engine as the order core sees it. */
export interface EngineState {
  readonly serverId: string;
  readonly service: string;
  /** False for an engine that is gone but may still execute an order. */
  readonly listed: boolean;
  readonly suspected: boolean;
  /** Weights version that membership knows; it may be older than the observation. */
  readonly listedWeights?: string;
  readonly observation?: Observation;
  readonly order?: PendingOrder;
  /** The engine gets no order before this time, and none for an observation from before it. */
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
