import type * as desiredService from './desired-service';
import type * as states from './state';

/** Whether the engine can serve requests, according to the membership task's list and the last read-back. */
export function isLoaded(engine: states.EngineState): boolean {
  return (
    engine.listed &&
    !engine.suspected &&
    engine.order === undefined &&
    engine.observation?.loading !== true &&
    latestWeights(engine) !== undefined
  );
}

/** Whether the engine is loading weights or may be loading them. */
export function mayBeLoading(engine: states.EngineState): boolean {
  return engine.order !== undefined || engine.observation?.loading === true;
}

/** The most recently reported weights version: that of a read-back, or else that of the list. */
export function latestWeights(engine: states.EngineState): string | undefined {
  return engine.observation?.weightsVersion ?? engine.listedWeights;
}

/** The oldest desired version that the engine has not loaded; absent if the times of the versions are unknown. */
export function oldestMissedVersion(
  state: states.OrderState,
  engine: states.EngineState,
): desiredService.DesiredVersion | undefined {
  const weightsVersion = Number(latestWeights(engine));
  return state.desired
    .get(engine.service)
    ?.desiredVersions?.find((desired) => Number(desired.weightsVersion) > weightsVersion);
}

/** Whether the weights of the engine are so old that daemons send it no requests. */
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
 * Whether the engine occupies one of the slots for concurrent loads. An engine that gets no requests occupies none,
 * because its load takes no capacity away. An order without an answer occupies a slot only until a later read-back
 * shows that the engine is not loading.
 */
export function occupiesLoadSlot(
  state: states.OrderState,
  engine: states.EngineState,
  at: number,
): boolean {
  return mayBeLoading(engine) && !isReportedIdle(engine) && !isBelowMinimum(state, engine, at);
}

function isReportedIdle({ order, observation }: states.EngineState): boolean {
  return (
    order?.unansweredAt !== undefined &&
    observation?.loading === false &&
    observation.startedAt >= order.unansweredAt
  );
}

/** Whether the engine must be read back because it may not have the desired weights. */
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
  if (observation !== undefined && isRecent(state, observation, at)) {
    return latestWeights(engine) !== desired;
  }
  return engine.listedWeights !== desired;
}

/** Whether an order may be sent: it is known that the engine lacks the desired weights, after a read-back in this term. */
export function mayBeOrdered(
  state: states.OrderState,
  issuer: states.Issuer,
  engine: states.EngineState,
  at: number,
): boolean {
  const { observation } = engine;
  const desired = state.desired.get(engine.service)?.weightsVersion;
  const earliestObservation = Math.max(issuer.sendFrom, engine.nextOrderAt);
  return (
    isLoaded(engine) &&
    engine.refusedTerm !== issuer.term &&
    observation !== undefined &&
    observation.startedAt >= earliestObservation &&
    isRecent(state, observation, at) &&
    desired !== undefined &&
    latestWeights(engine) !== desired
  );
}

function isRecent(state: states.OrderState, observation: states.Observation, at: number): boolean {
  return at - observation.startedAt <= state.parameters.observationMilliseconds;
}
