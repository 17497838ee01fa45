import type * as state from './state';
import type * as steps from './step';

/** The smoothed observations of a service. */
export function of(step: steps.Step, service: string): state.ServiceTiming {
  return step.state.serviceTimings.get(service, NEW_SERVICE);
}

/** Replaces the smoothed observations of a service. */
export function change(
  step: steps.Step,
  service: string,
  update: (timing: state.ServiceTiming) => state.ServiceTiming,
): void {
  const timing = update(of(step, service));
  step.change({ serviceTimings: step.state.serviceTimings.set(service, timing) });
}

/** Raises the factor after a request expired in the queue, because the expected wait was too short. */
export function raiseWaitSafetyFactor(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafetyFactor: Math.min(MAXIMUM_SAFETY, timing.waitSafetyFactor * RAISE_FACTOR),
  }));
}

/** Lowers the factor after a request left the queue in time. */
export function lowerWaitSafetyFactor(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafetyFactor: Math.max(MINIMUM_SAFETY, timing.waitSafetyFactor * LOWER_FACTOR),
  }));
}

/**
 * The factor matters only while the service is saturated. A request that expires in the queue is refused late
 * instead of at its arrival; with 1.5, a fifth of the refusals in a load spike were late.
 */
const MINIMUM_SAFETY = 8;
const MAXIMUM_SAFETY = 40;
const RAISE_FACTOR = 1.6;
/** About 100 requests in time lower the factor as much as 4 expired ones raise it. */
const LOWER_FACTOR = 0.99;

const NEW_SERVICE: state.ServiceTiming = {
  firstPieceMilliseconds: 0,
  costRatio: 1,
  waitSafetyFactor: MINIMUM_SAFETY,
};
