import * as backend from '../backend';
import type * as membershipView from './membership-view';

/**
 * Whether there is a service that has engines and whose weights version is not known from any of them.
 *
 * @example
 * hasUnknownWeights(membership.eligible(view)); // true until the first engine of each service has answered a probe
 */
export function hasUnknownWeights(servers: readonly membershipView.EligibleServer[]): boolean {
  const engines = servers.filter(({ kind }) => kind === backend.BackendKind.ModelEngine);
  const known = new Set(
    engines
      .filter(({ weightsVersion }) => weightsVersion !== undefined)
      .map(({ service }) => service),
  );
  return engines.some(({ service }) => !known.has(service));
}
