import * as configuration from '../configuration';
import * as candidateFilter from './candidate-filter';
import type * as state from './state';
import type * as steps from './step';

/**
 * Keeps requests away from servers that load weights or are known to have other weights, and would refuse
 * them. A request rather waits in its queue than uses up its attempts.
 */
export class WeightsFilter extends candidateFilter.CandidateFilter {
  override admits({
    request,
    server,
    weightsExpected,
    minimumWeights,
  }: candidateFilter.Pairing): boolean {
    const { weightsVersion: known, loading } = server.record;
    const isOther = known !== undefined && known !== request.profile.weightsVersion;
    return loading !== true && !isObsolete(known, minimumWeights) && !(weightsExpected && isOther);
  }
}

/** An engine that does not tell its version may have any. Versions that are not numbers are not compared. */
export function isObsolete(known: string | undefined, minimum: number | undefined): boolean {
  if (minimum === undefined || Number.isNaN(minimum)) {
    return false;
  }
  return known === undefined || Number(known) < minimum;
}

/**
 * Whether it makes sense to wait for a server with the request's weights. A stream that has started has
 * no deadline of its own, so it waits only for servers that are known.
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

/** The oldest weights that may get work, if there is a bound and it can be compared. */
export function minimumWeightsOf(
  service: configuration.ServiceDocument | undefined,
): number | undefined {
  const isEngine = service?.type === configuration.ServiceType.ModelEngine;
  const minimum = isEngine ? service.minimumWeightsVersion : undefined;
  return minimum === undefined ? undefined : Number(minimum);
}
