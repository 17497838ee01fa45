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

/** A request expired in the queue: the expected wait was too short. */
export function raiseWaitSafetyFactor(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafetyFactor: Math.min(MAXIMUM_SAFETY, timing.waitSafetyFactor * RAISE),
  }));
}

/** A request left the queue in time. */
export function lowerWaitSafetyFactor(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafetyFactor: Math.max(MINIMUM_SAFETY, timing.waitSafetyFactor * LOWER),
  }));
}

/**
 * Applies only while the service is saturated. A refusal must come at the arrival, and a request that
 * expires in the queue is refused late; with 1.5, a fifth of the refusals in a load spike were late.
 */
const MINIMUM_SAFETY = 8;
const MAXIMUM_SAFETY = 40;
const RAISE = 1.6;
/** About 100 requests in time balance 4 that expired. */
const LOWER = 0.99;

const NEW_SERVICE: state.ServiceTiming = {
  firstPieceMilliseconds: 0,
  stretch: 1,
  waitSafetyFactor: MINIMUM_SAFETY,
};
