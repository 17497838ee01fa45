import * as coreStrategy from './core-strategy';
import type * as deployment from './deployment';
import * as fewestInFlight from './fewest-in-flight';
import * as oracle from './oracle';
import type * as outcome from './outcome';
import * as prefixHash from './prefix-hash';
import * as roundRobin from './round-robin';
import * as runSimulation from './run-simulation';
import type * as strategy from './strategy';
import type * as workload from './workload';

/** Results of all strategies on the same traffic. */
export interface Compared {
  readonly core: outcome.RunResult;
  readonly oracle: outcome.RunResult;
  readonly roundRobin: outcome.RunResult;
  readonly fewestInFlight: outcome.RunResult;
  readonly prefixHash: outcome.RunResult;
}

/** Runs one strategy until well after the last arrival. */
export function runOne(
  cluster: deployment.Deployment,
  router: strategy.Strategy,
  requests: readonly workload.BenchRequest[],
  seed: number,
  options: Pick<runSimulation.RunOptions, 'incidents' | 'resend'> = {},
): outcome.RunResult {
  const last = requests[requests.length - 1]?.at ?? 0;
  return runSimulation.runSimulation({
    cluster,
    strategy: router,
    requests,
    seed,
    ...options,
    untilMilliseconds: last + DRAIN_MILLISECONDS,
  });
}

/** Runs figline's core, the oracle and the baselines on the same traffic. */
export function runAll(
  cluster: deployment.Deployment,
  requests: readonly workload.BenchRequest[],
  seed: number,
): Compared {
  const run = (router: strategy.Strategy) => runOne(cluster, router, requests, seed);
  return {
    core: run(new coreStrategy.CoreStrategy()),
    oracle: run(new oracle.Oracle()),
    roundRobin: run(new roundRobin.RoundRobin()),
    fewestInFlight: run(new fewestInFlight.FewestInFlight()),
    prefixHash: run(new prefixHash.PrefixHash()),
  };
}

/** Applies a measure to the result of each strategy. */
export function each(
  compared: Compared,
  measure: (result: outcome.RunResult) => number,
): Record<keyof Compared, number> {
  return {
    core: measure(compared.core),
    oracle: measure(compared.oracle),
    roundRobin: measure(compared.roundRobin),
    fewestInFlight: measure(compared.fewestInFlight),
    prefixHash: measure(compared.prefixHash),
  };
}

const DRAIN_MILLISECONDS = 30_000;
