import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import type * as deployment from '../deployment';
import * as outcome from '../outcome';
import * as workload from '../workload';

/** All routers restart at the same time with an empty prefix index. */
export class RouterRestart extends benchCase.BenchCase {
  override readonly name = 'router-restart';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const rate = capacity.capacityOf(cluster) * 0.6;
    const traffic = { seed, durationMilliseconds: RESTART + 25_000, rate: () => rate };
    const requests = workload.generate(cluster, traffic);
    const incidents = [
      { at: RESTART, run: (_: unknown, router: { restart(): void }) => router.restart() },
    ];
    const result = comparison.runOne(cluster, new coreStrategy.CoreStrategy(), requests, seed, {
      incidents,
    });
    const before = outcome.hitRate(result, RESTART - 30_000, RESTART);
    const during = outcome.hitRate(result, RESTART, RESTART + 5_000);
    const after = outcome.hitRate(result, RESTART + 5_000, RESTART + 20_000);
    return [
      benchCase.atLeast('hit rate 5 s after / before', after / before, 0.9, {
        before,
        during,
        after,
      }),
    ];
  }
}

const RESTART = 60_000;
