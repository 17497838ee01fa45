import * as benchCase from '../bench-case';
import * as capacity from '../capacity';
import * as comparison from '../comparison';
import * as coreStrategy from '../core-strategy';
import * as deployment from '../deployment';
import * as outcome from '../outcome';
import * as workload from '../workload';

/**
 * A request that crashes every engine that runs it, sent again for a minute: half a second after each
 * failure, or every half a second whether or not the earlier copies have failed.
 */
export class CrashingRequest extends benchCase.BenchCase {
  override readonly name = 'crashing-request';

  override run(cluster: deployment.Deployment, seed: number): benchCase.Figure[] {
    const rate = capacity.capacityOf(cluster) * 0.5;
    const normal = workload.generate(cluster, {
      seed,
      durationMilliseconds: START + 80_000,
      rate: () => rate,
    });
    return [
      ...figures('after each failure', resendAfterFailure(cluster, normal, seed)),
      ...figures('every 0.5 s', resendPeriodically(cluster, normal, seed)),
    ];
  }
}

function figures(description: string, result: outcome.RunResult): benchCase.Figure[] {
  const others = result.outcomes.filter(({ request }) => !request.poison && request.at >= START);
  const served = others.filter((entry) => entry.finishedAt !== undefined);
  const failed = others.filter(({ failure }) => failure).length;
  return [
    benchCase.atMost(`runners lost, resent ${description}`, result.crashes, 2),
    benchCase.atLeast(
      `success of others, resent ${description}`,
      served.length / others.length,
      0.999,
      {
        requests: others.length,
        failed,
        sent:
          result.outcomes.length - result.outcomes.filter(({ request }) => !request.poison).length,
      },
    ),
  ];
}

function resendAfterFailure(
  cluster: deployment.Deployment,
  normal: readonly workload.BenchRequest[],
  seed: number,
): outcome.RunResult {
  let sent = 1;
  const resend = (failed: workload.BenchRequest, now: number) => {
    if (!failed.poison || now >= START + RESEND_FOR_MILLISECONDS) {
      return undefined;
    }
    sent += 1;
    return crashingCopy(cluster, failed, sent, now + RESEND_MILLISECONDS);
  };
  const requests = inOrder([...normal, crashingCopy(cluster, normal[0], 0, START)]);
  return comparison.runOne(cluster, new coreStrategy.CoreStrategy(), requests, seed, { resend });
}

function resendPeriodically(
  cluster: deployment.Deployment,
  normal: readonly workload.BenchRequest[],
  seed: number,
): outcome.RunResult {
  const copies = Array.from({ length: RESEND_FOR_MILLISECONDS / RESEND_MILLISECONDS }, (_, index) =>
    crashingCopy(cluster, normal[0], index, START + index * RESEND_MILLISECONDS),
  );
  const requests = inOrder([...normal, ...copies]);
  return comparison.runOne(cluster, new coreStrategy.CoreStrategy(), requests, seed);
}

function inOrder(requests: readonly workload.BenchRequest[]): workload.BenchRequest[] {
  return [...requests].sort((left, right) => left.at - right.at);
}

/** A copy that goes to another daemon, as the platform's load balancer would send it. */
function crashingCopy(
  cluster: deployment.Deployment,
  template: workload.BenchRequest,
  number: number,
  at: number,
): workload.BenchRequest {
  return {
    ...template,
    requestId: `poison-${number}`,
    at,
    zone: deployment.zoneOf(cluster, number),
    balancer: number,
    poison: true,
    fingerprint: 'poison',
  };
}

const START = 20_000;
const RESEND_FOR_MILLISECONDS = 60_000;
const RESEND_MILLISECONDS = 500;
