import type * as states from './state';

/** Whether the engine can serve, as far as is known. */
export function isLoaded(engine: states.EngineState): boolean {
  return (
    engine.listed &&
    !engine.suspected &&
    engine.order === undefined &&
    engine.observation?.loading !== true &&
    (engine.listedWeights ?? engine.observation?.weightsVersion) !== undefined
  );
}

/** Whether the engine executes a load, or may do so. */
export function mayBeLoading(engine: states.EngineState): boolean {
  return engine.order !== undefined || engine.observation?.loading === true;
}

/** Whether the engine has to be read back, because it may lack the desired weights. */
export function needsAttention(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): boolean {
  const desired = state.desired.get(engine.service);
  if (!engine.listed || desired === undefined) {
    return engine.order !== undefined;
  }
  if (mayBeLoading(engine)) {
    return true;
  }
  const { observation } = engine;
  if (observation !== undefined && isCurrent(state, observation, at)) {
    return observation.weightsVersion !== desired;
  }
  return engine.listedWeights !== desired;
}

/** Whether an order may be sent: the engine was read back in this term and lacks the desired weights. */
export function mayBeOrdered(
  state: states.OrderState,
  issuer: states.Issuer,
  engine: states.EngineState,
  at: number,
): boolean {
  const { observation } = engine;
  const readFrom = Math.max(issuer.sendFrom, engine.nextOrderAt);
  return (
    isLoaded(engine) &&
    engine.refusedTerm !== issuer.term &&
    observation !== undefined &&
    observation.startedAt >= readFrom &&
    isCurrent(state, observation, at) &&
    observation.weightsVersion !== state.desired.get(engine.service)
  );
}

function isCurrent(state: states.OrderState, observation: states.Observation, at: number): boolean {
  return at - observation.startedAt <= state.parameters.observationMilliseconds;
}
