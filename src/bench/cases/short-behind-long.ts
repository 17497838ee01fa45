import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import type * as deployment from '../deployment';
import * as oracle from '../oracle';
import * as outcome from '../outcome';
import type * as strategy from '../strategy';
import * as workload from '../workload';

/** The same short requests with and without 3% of requests that generate 50 times as much output. */
export class ShortBehindLong extends benchCase.BenchCase {
  override readonly name = 'short-behind-long';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const options = { meanOutputPieces: MEAN_OUTPUT_PIECES };
    const rate = capacity.capacityOf(cluster, options) * 0.3;
    const traffic = { ...options, seed, durationMilliseconds: DURATION_MILLISECONDS };
    const withLong = workload.generate(cluster, {
      ...traffic,
      rate: () => rate,
      longFraction: 0.03,
      longFactor: 50,
    });
    const withoutLong = withLong.filter((request) => !request.long);
    const tail = (router: strategy.Strategy, requests: readonly workload.BenchRequest[]) =>
      outcome.percentile(
        outcome.firstTokenTimes(
          comparison.runOne(cluster, router, requests, seed),
          WARM_UP_MILLISECONDS,
          Infinity,
          (entry) => !entry.request.long,
        ),
        0.99,
      );
    const mixed = tail(new coreStrategy.CoreStrategy(), withLong);
    const alone = tail(new coreStrategy.CoreStrategy(), withoutLong);
    return [
      benchCase.atMost('p99 short with / without long', mixed / alone, 1.3, {
        mixed,
        alone,
        oracleMixed: tail(new oracle.Oracle(), withLong),
        oracleAlone: tail(new oracle.Oracle(), withoutLong),
        requests: withoutLong.length,
      }),
    ];
  }
}

/** A short request is a lookup or a classification with half a second of output. */
const MEAN_OUTPUT_PIECES = 5;
const DURATION_MILLISECONDS = 240_000;
const WARM_UP_MILLISECONDS = 40_000;
