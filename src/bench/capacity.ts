import * as deployment from './deployment';
import * as oracle from './oracle';
import * as outcome from './outcome';
import * as runSimulation from './run-simulation';
import * as workload from './workload';

const known = new Map<string, number>();

/**
 * Capacity of a deployment in requests per second: the highest rate at which the oracle, after a warm-up,
 * still gives 97 of 100 requests their first token within the deadline.
 *
 * @example
 * capacityOf(ASSOCIACAO, { meanOutputPieces: 5 }); // 21.4
 */
export function capacityOf(
  place: deployment.Deployment,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'> = {},
): number {
  const key = `${place.name}/${options.meanOutputPieces ?? 0}`;
  const capacity = known.get(key) ?? search(place, options);
  known.set(key, capacity);
  return capacity;
}

function search(
  place: deployment.Deployment,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'>,
): number {
  let low = place.runners;
  let high = place.runners * 8;
  for (let round = 0; round < SEARCH_ROUNDS; round += 1) {
    const middle = (low + high) / 2;
    if (sustains(place, middle, options)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

function sustains(
  place: deployment.Deployment,
  rate: number,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'>,
): boolean {
  const requests = workload.generate(place, {
    ...options,
    seed: CAPACITY_SEED,
    durationMilliseconds: DURATION_MILLISECONDS,
    rate: () => rate,
  });
  const result = runSimulation.runSimulation({
    place,
    strategy: new oracle.Oracle(),
    requests,
    seed: CAPACITY_SEED,
    untilMilliseconds: DURATION_MILLISECONDS + place.firstTokenMilliseconds,
  });
  const late = outcome.lateFraction(result, place.firstTokenMilliseconds, WARM_UP_MILLISECONDS);
  return late <= LATE_FRACTION;
}

const CAPACITY_SEED = 1_999;
const SEARCH_ROUNDS = 7;
const WARM_UP_MILLISECONDS = 20_000;
const DURATION_MILLISECONDS = 80_000;
const LATE_FRACTION = 0.03;
