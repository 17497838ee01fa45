import * as configuration from '../configuration';
import type * as state from './state';
import type * as steps from './step';
import * as weightsFilter from './weights-filter';

/** Whether an attempt waits for its first piece at an engine whose weights have become too old to begin on. */
export function waitsOnObsolete(
  step: steps.Step,
  { profile }: state.RequestState,
  { serverId, lastPieceAt }: state.AttemptState,
): boolean {
  const minimum = minimumStartOf(step.state.services.get(profile.service));
  const server = step.state.servers.get(serverId);
  return (
    minimum !== undefined &&
    profile.isStreamed === true &&
    lastPieceAt === undefined &&
    server !== undefined &&
    weightsFilter.isObsolete(server.record.weightsVersion, minimum)
  );
}

function minimumStartOf(service: configuration.ServiceDocument | undefined): number | undefined {
  return service?.type === configuration.ServiceType.ModelEngine &&
    service.minimumStartWeightsVersion !== undefined
    ? Number(service.minimumStartWeightsVersion)
    : undefined;
}
