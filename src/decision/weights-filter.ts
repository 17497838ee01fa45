import * as configuration from '../configuration';
import * as candidateFilter from './candidate-filter';
import type * as state from './state';
import type * as steps from './step';

/**
 * Rejects servers that load weights or have other weights, because they refuse the request. Waiting in the
 * queue does not use up the request's attempts.
 */
export class WeightsFilter extends candidateFilter.CandidateFilter {
  override admits({
    request,
    server,
    weightsExpected,
    minimumWeights,
  }: candidateFilter.Pairing): boolean {
    const { weightsVersion: loaded, loading } = server.record;
    const isOther = loaded !== undefined && loaded !== request.profile.weightsVersion;
    return loading !== true && !isObsolete(loaded, minimumWeights) && !(weightsExpected && isOther);
  }
}

/** An engine without a reported version may have any. Versions that are not numbers are not compared. */
export function isObsolete(version: string | undefined, minimum: number | undefined): boolean {
  if (minimum === undefined || Number.isNaN(minimum)) {
    return false;
  }
  return version === undefined || Number(version) < minimum;
}

/**
 * Whether a request waits for a server with its weights. A started stream has no deadline for its first
 * token, so it waits only when a listed server has the weights.
 */
export function expectsWeights(step: steps.Step, request: state.RequestState): boolean {
  const { service, weightsVersion } = request.profile;
  const document = step.state.services.get(service);
  if (weightsVersion === undefined || document?.type !== configuration.ServiceType.ModelEngine) {
    return false;
  }
  const isConfigured = document.weightsVersion === weightsVersion;
  return (
    (isConfigured && request.nextPiece === 0) ||
    step
      .pool(service)
      .some((server) => server.eligible && server.record.weightsVersion === weightsVersion)
  );
}

/** The oldest weights version that may get requests; NaN when it is no number, undefined without a limit. */
export function minimumWeightsOf(
  service: configuration.ServiceDocument | undefined,
): number | undefined {
  const isEngine = service?.type === configuration.ServiceType.ModelEngine;
  const minimum = isEngine ? service.minimumWeightsVersion : undefined;
  return minimum === undefined ? undefined : Number(minimum);
}
