import * as deployment from './deployment';
import * as oracle from './oracle';
import * as outcome from './outcome';
import * as runSimulation from './run-simulation';
import * as workload from './workload';

const capacities = new Map<string, number>();

/**
 * Capacity of a deployment in requests per second: the highest rate at which 97 of 100 requests that the
 * oracle routes after a warm-up get their first token within the deadline.
 *
 * @example
 * capacityOf(ASSOCIACAO, { meanOutputPieces: 5 }); // 21.4
 */
export function capacityOf(
  cluster: deployment.Deployment,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'> = {},
): number {
  const key = `${cluster.name}/${options.meanOutputPieces ?? 0}`;
  const capacity = capacities.get(key) ?? search(cluster, options);
  capacities.set(key, capacity);
  return capacity;
}

function search(
  cluster: deployment.Deployment,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'>,
): number {
  let low = cluster.runners;
  let high = cluster.runners * 8;
  for (let round = 0; round < SEARCH_ROUNDS; round += 1) {
    const middle = (low + high) / 2;
    if (sustains(cluster, middle, options)) {
      low = middle;
    } else {
      high = middle;
    }
  }
  return low;
}

function sustains(
  cluster: deployment.Deployment,
  rate: number,
  options: Pick<workload.WorkloadOptions, 'meanOutputPieces'>,
): boolean {
  const requests = workload.generate(cluster, {
    ...options,
    seed: CAPACITY_SEED,
    durationMilliseconds: DURATION_MILLISECONDS,
    rate: () => rate,
  });
  const result = runSimulation.runSimulation({
    cluster,
    strategy: new oracle.Oracle(),
    requests,
    seed: CAPACITY_SEED,
    untilMilliseconds: DURATION_MILLISECONDS + cluster.firstTokenMilliseconds,
  });
  const late = outcome.lateFraction(result, cluster.firstTokenMilliseconds, WARM_UP_MILLISECONDS);
  return late <= LATE_FRACTION;
}

const CAPACITY_SEED = 1_999;
const SEARCH_ROUNDS = 7;
const WARM_UP_MILLISECONDS = 20_000;
const DURATION_MILLISECONDS = 80_000;
const LATE_FRACTION = 0.03;
