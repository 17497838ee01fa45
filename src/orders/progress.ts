import * as conditions from './engine-condition';
import type * as states from './state';

/** How far the engines of one service are from the desired weights. */
export interface ServiceProgress {
  readonly service: string;
  readonly weightsVersion: string;
  readonly engines: number;
  /** Engines that are known to serve the desired weights. */
  readonly switched: number;
  /** Engines that execute an order, or may do so. */
  readonly loading: number;
}

/**
 * The state of the roll-outs, for logs and operators.
 *
 * @example
 * progress(state).every(({ engines, switched }) => engines === switched);
 */
export function progress(state: states.OrderState): readonly ServiceProgress[] {
  const engines = state.engines.valueSeq().filter((engine) => engine.listed);
  return state.desired
    .entrySeq()
    .map(([service, { weightsVersion }]) => {
      const own = engines.filter((engine) => engine.service === service);
      const loading = own.count(conditions.mayBeLoading);
      const switched = own.count((engine) => conditions.latestWeights(engine) === weightsVersion);
      return { service, weightsVersion, engines: own.count(), switched, loading };
    })
    .toArray();
}
