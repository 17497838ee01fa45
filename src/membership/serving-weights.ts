import type * as membershipView from './membership-view';

/**
 * The weights version that a request to a service should require: the configured one as soon as a server has
 * it, and until then the one that most servers have. A publish of new weights therefore stops no traffic
 * while the first server loads them. A server without weights does not count: in a request the empty version
 * stands for any weights.
 *
 * @example
 * servingWeights(membership.eligible(view), 'inspection-desk', 'v2');
 */
export function servingWeights(
  servers: readonly membershipView.EligibleServer[],
  service: string,
  configured: string,
): string {
  const counts = new Map<string, number>();
  servers
    .filter((server) => server.service === service && server.loading !== true)
    .forEach(({ weightsVersion }) => {
      if (weightsVersion !== undefined && weightsVersion !== NO_WEIGHTS) {
        counts.set(weightsVersion, (counts.get(weightsVersion) ?? 0) + 1);
      }
    });
  if (counts.size === 0 || counts.has(configured)) {
    return configured;
  }
  return [...counts].reduce((best, entry) => (entry[1] > best[1] ? entry : best))[0];
}

/** Reported by servers that have no weights. */
const NO_WEIGHTS = '';
