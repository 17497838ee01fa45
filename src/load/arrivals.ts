import type * as clock from '../clock';

/** Rate and limits of an open-loop run, which ends at the first of its two limits. */
export interface ArrivalPlan {
  readonly ratePerSecond: number;
  readonly durationMilliseconds: number;
  readonly maximumRequests: number;
}

/**
 * Start times of the requests of an open-loop run, in milliseconds after its start. Arrivals are independent,
 * with exponential gaps, and do not wait for answers.
 *
 * @example
 * planArrivals({ ratePerSecond: 200, durationMilliseconds: 5_000, maximumRequests: 600 }, random);
 */
export function planArrivals(plan: ArrivalPlan, random: clock.RandomSource): number[] {
  const times: number[] = [];
  let at = gap(plan, random);
  while (at < plan.durationMilliseconds && times.length < plan.maximumRequests) {
    times.push(at);
    at += gap(plan, random);
  }
  return times;
}

function gap(plan: ArrivalPlan, random: clock.RandomSource): number {
  return (-Math.log(1 - random.uniform()) * 1_000) / plan.ratePerSecond;
}
