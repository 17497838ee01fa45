import type * as desiredService from './desired-service';
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

/** The weights version that was told last. */
export function latestWeights(engine: states.EngineState): string | undefined {
  return engine.observation?.weightsVersion ?? engine.listedWeights;
}

/** The oldest naming that the engine has not followed; absent where the times of namings are not known. */
export function oldestMissedVersion(
  state: states.OrderState,
  engine: states.EngineState,
): desiredService.DesiredVersion | undefined {
  const weightsVersion = Number(latestWeights(engine));
  return state.desired
    .get(engine.service)
    ?.namings?.find((naming) => Number(naming.weightsVersion) > weightsVersion);
}

/** Whether the weights of the engine are so old that daemons give it no work. */
export function isBelowMinimum(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): boolean {
  const { graceMilliseconds = Infinity } = state.parameters;
  const missed = oldestMissedVersion(state, engine);
  return missed !== undefined && at - missed.namedAt >= graceMilliseconds;
}

/**
 * Whether the engine counts among those that load at the same time. An engine that gets no work is not missed, and
 * an order without an answer counts only until a later read-back shows that nothing is loaded.
 */
export function occupiesLoadSlot(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): boolean {
  return mayBeLoading(engine) && !isKnownToWait(engine) && !isBelowMinimum(state, engine, at);
}

function isKnownToWait({ order, observation }: states.EngineState): boolean {
  return (
    order?.unansweredAt !== undefined &&
    observation?.loading === false &&
    observation.startedAt >= order.unansweredAt
  );
}

/** Whether the engine has to be read back, because it may lack the desired weights. */
export function needsReadBack(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): boolean {
  const desired = state.desired.get(engine.service)?.weightsVersion;
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
    observation.weightsVersion !== state.desired.get(engine.service)?.weightsVersion
  );
}

function isCurrent(state: states.OrderState, observation: states.Observation, at: number): boolean {
  return at - observation.startedAt <= state.parameters.observationMilliseconds;
}
