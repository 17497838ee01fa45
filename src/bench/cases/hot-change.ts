import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import type * as deployment from '../deployment';
import * as oracle from '../oracle';
import * as outcome from '../outcome';
import * as workload from '../workload';

/** Other histories become popular all at once. */
export class HotChange extends benchCase.BenchCase {
  override readonly name = 'hot-change';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const rate = capacity.capacityOf(cluster) * 0.6;
    const requests = workload.generate(cluster, {
      seed,
      durationMilliseconds: END,
      rate: () => rate,
      hotSet: (at) => (at < CHANGE ? 0 : 1),
    });
    const result = comparison.runOne(cluster, new coreStrategy.CoreStrategy(), requests, seed);
    const best = comparison.runOne(cluster, new oracle.Oracle(), requests, seed);
    const before = outcome.hitRate(result, CHANGE - 30_000, CHANGE);
    const after = outcome.hitRate(result, CHANGE + 5_000, CHANGE + 20_000);
    return [
      benchCase.atLeast('hit rate 5 s after / before', after / before, 0.95, { before, after }),
      ...WINDOWS_SECONDS.map((seconds) =>
        benchCase.atMost(
          `highest load / mean, ${seconds} s means`,
          worstImbalance(result, seconds),
          2,
          { oracle: worstImbalance(best, seconds) },
        ),
      ),
    ];
  }
}

/** The highest ratio of a runner's load to the mean, over windows of some seconds after the change. */
export function worstImbalance(result: outcome.RunResult, windowSeconds: number): number {
  const samples = result.loads.filter(({ at }) => at >= CHANGE && at < END);
  const samplesPerWindow = windowSeconds * SAMPLES_PER_SECOND;
  const windows = Math.floor(samples.length / samplesPerWindow);
  return Math.max(
    ...Array.from({ length: windows }, (_, window) => {
      const start = window * samplesPerWindow;
      const chosen = samples.slice(start, start + samplesPerWindow);
      const sums = chosen[0].requests.map((__, index) =>
        chosen.reduce((sum, sample) => sum + sample.requests[index], 0),
      );
      const mean = sums.reduce((sum, value) => sum + value, 0) / sums.length;
      return Math.max(...sums) / Math.max(1, mean);
    }),
  );
}

// The target names no window: 1 s shows single bursts, 5 s imbalance as long as the allowed recovery.
const WINDOWS_SECONDS = [1, 5];
const SAMPLES_PER_SECOND = 10;
const CHANGE = 60_000;
const END = 90_000;
