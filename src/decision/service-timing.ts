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
export function raiseSafety(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafety: Math.min(MAXIMUM_SAFETY, timing.waitSafety * RAISE),
  }));
}

/** A request left the queue in time. */
export function lowerSafety(step: steps.Step, service: string): void {
  change(step, service, (timing) => ({
    ...timing,
    waitSafety: Math.max(MINIMUM_SAFETY, timing.waitSafety * LOWER),
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
  waitSafety: MINIMUM_SAFETY,
};
