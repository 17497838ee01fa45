import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import type * as deployment from '../deployment';
import type * as fakeEngine from '../fake-engine';
import * as outcome from '../outcome';
import * as workload from '../workload';

/** Two of the runners become 8 times slower for a minute, and load reports are 2 s late. */
export class Stragglers extends benchCase.BenchCase {
  override readonly name = 'stragglers';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    // 50% of the whole capacity is less than the capacity of the runners that stay fast.
    const rate = capacity.capacityOf(cluster) * 0.5;
    const traffic = { seed, durationMilliseconds: END, rate: () => rate };
    const requests = workload.generate(cluster, traffic);
    const setSpeed = (slowdown: number) => (engines: readonly fakeEngine.FakeEngine[]) =>
      SLOW_RUNNERS.forEach((index) => engines[index].setSlowdown(slowdown));
    const run = (slowdown: number) =>
      comparison.runOne(cluster, core(), requests, seed, {
        incidents: [{ at: START, run: setSpeed(slowdown) }],
      });
    const healthy = run(1);
    const slow = run(8);
    const tail = (result: outcome.RunResult) =>
      outcome.percentile(outcome.firstTokenTimes(result, START), 0.99);
    return [
      benchCase.atMost('p99 with / without stragglers', tail(slow) / tail(healthy), 1.5, {
        slow: tail(slow),
        healthy: tail(healthy),
        requests: requests.length,
      }),
      benchCase.atMost('hedged requests', outcome.hedgedFraction(slow), 0.05),
    ];
  }
}

function core(): coreStrategy.CoreStrategy {
  return new coreStrategy.CoreStrategy({ reportLagMilliseconds: 2_000 });
}

const SLOW_RUNNERS = [1, 4];
const START = 30_000;
const END = 90_000;
