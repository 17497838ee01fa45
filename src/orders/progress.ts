import * as conditions from './engine-condition';
import type * as states from './state';

/** Progress of the engines of one service towards the desired weights. */
export interface ServiceProgress {
  readonly service: string;
  readonly weightsVersion: string;
  readonly engines: number;
  /** Engines that reported the desired weights. */
  readonly switched: number;
  /** Engines that execute an order or may be executing one. */
  readonly loading: number;
}

/**
 * Progress of the roll-outs of all services, for logs and operators.
 *
 * @example
 * progress(state).every(({ engines, switched }) => engines === switched);
 */
export function progress(state: states.OrderState): readonly ServiceProgress[] {
  const engines = state.engines.valueSeq().filter((engine) => engine.listed);
  return state.desired
    .entrySeq()
    .map(([service, { weightsVersion }]) => {
      const ofService = engines.filter((engine) => engine.service === service);
      const loading = ofService.count(conditions.mayBeLoading);
      const switched = ofService.count(
        (engine) => conditions.latestWeights(engine) === weightsVersion,
      );
      return { service, weightsVersion, engines: ofService.count(), switched, loading };
    })
    .toArray();
}
