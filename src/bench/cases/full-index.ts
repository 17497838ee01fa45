import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import type * as deployment from '../deployment';
import * as fullIndexStrategy from '../full-index-strategy';
import * as outcome from '../outcome';
import * as workload from '../workload';

/** Compares the learned index with one that receives every cache event at once, at the present size. */
export class FullIndex extends benchCase.BenchCase {
  override readonly name = 'full-index';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const rate = capacity.capacityOf(cluster) * 0.7;
    const traffic = { seed, durationMilliseconds: DURATION_MILLISECONDS, rate: () => rate };
    const requests = workload.generate(cluster, traffic);
    const learned = comparison.runOne(cluster, new coreStrategy.CoreStrategy(), requests, seed);
    const fullStrategy = new fullIndexStrategy.FullIndexStrategy();
    const full = comparison.runOne(cluster, fullStrategy, requests, seed);
    const hit = (result: outcome.RunResult) => outcome.hitRate(result, WARM_UP_MILLISECONDS);
    const tail = (result: outcome.RunResult) =>
      outcome.percentile(outcome.firstTokenTimes(result, WARM_UP_MILLISECONDS), 0.99);
    return [
      benchCase.reported('hit rate learned / full', hit(learned) / hit(full), {
        learned: hit(learned),
        full: hit(full),
        learnedTail: tail(learned),
        fullTail: tail(full),
        eventsPerSecond: (fullStrategy.receivedEvents * 1_000) / DURATION_MILLISECONDS,
      }),
    ];
  }
}

const DURATION_MILLISECONDS = 90_000;
const WARM_UP_MILLISECONDS = 20_000;
