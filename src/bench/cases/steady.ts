import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import type * as deployment from '../deployment';
import * as outcome from '../outcome';
import * as workload from '../workload';

/** Hit rate, wasted recomputation and time to first token at 70% of capacity, pooled over three runs. */
export class Steady extends benchCase.BenchCase {
  override readonly name = 'steady';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const rate = capacity.capacityOf(cluster) * 0.7;
    const runs = [seed, seed + 1, seed + 2].map((runSeed) => {
      const traffic = { seed: runSeed, durationMilliseconds: DURATION_MILLISECONDS };
      const requests = workload.generate(cluster, { ...traffic, rate: () => rate });
      return comparison.runAll(cluster, requests, runSeed);
    });
    const pooled =
      (measure: (result: outcome.RunResult) => number[]) => (name: keyof comparison.Compared) =>
        runs.flatMap((run) => measure(run[name]));
    const mean = (measure: (result: outcome.RunResult) => number) =>
      average(runs.map((run) => comparison.each(run, measure)));
    const hit = mean((result) => outcome.hitRate(result, WARM_UP_MILLISECONDS));
    const waste = mean((result) => outcome.wasteRate(result, WARM_UP_MILLISECONDS));
    const times = pooled((result) => outcome.firstTokenTimes(result, WARM_UP_MILLISECONDS));
    const tail = (name: keyof comparison.Compared) => outcome.percentile(times(name), 0.99);
    const best = Math.max(hit.roundRobin, hit.fewestInFlight, hit.prefixHash);
    return [
      benchCase.atLeast('hit rate / oracle', hit.core / hit.oracle, 0.95, hit),
      benchCase.atLeast('hit rate - best baseline', hit.core - best, 0),
      benchCase.atMost('waste / oracle', waste.core / waste.oracle, 1.15, waste),
      benchCase.atMost('p99 first token / oracle', tail('core') / tail('oracle'), 1.2, {
        core: tail('core'),
        oracle: tail('oracle'),
        roundRobin: tail('roundRobin'),
        fewestInFlight: tail('fewestInFlight'),
        prefixHash: tail('prefixHash'),
        coreMedian: outcome.percentile(times('core'), 0.5),
        oracleMedian: outcome.percentile(times('oracle'), 0.5),
        requests: times('core').length,
      }),
      benchCase.reported(
        'prompt bytes across regions',
        mean(regionFraction).core,
        mean(regionFraction),
      ),
      benchCase.reported('failed requests', mean(failedFraction).core, mean(failedFraction)),
    ];
  }
}

function regionFraction(result: outcome.RunResult): number {
  return result.regionBytes / result.totalBytes;
}

function failedFraction(result: outcome.RunResult): number {
  const chosen = result.outcomes.filter(({ request }) => request.at >= WARM_UP_MILLISECONDS);
  return chosen.filter(({ failure }) => failure).length / chosen.length;
}

function average(
  runs: readonly Record<keyof comparison.Compared, number>[],
): Record<keyof comparison.Compared, number> {
  const mean = (name: keyof comparison.Compared) =>
    runs.reduce((sum, run) => sum + run[name], 0) / runs.length;
  return {
    core: mean('core'),
    oracle: mean('oracle'),
    roundRobin: mean('roundRobin'),
    fewestInFlight: mean('fewestInFlight'),
    prefixHash: mean('prefixHash'),
  };
}

const DURATION_MILLISECONDS = 100_000;
const WARM_UP_MILLISECONDS = 20_000;
