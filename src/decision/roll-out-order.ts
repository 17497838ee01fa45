import * as configuration from '../configuration';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';

/**
 * The servers that keep their weights for a while: those that have the desired version, and those that are ordered to load it
 * last. A stream that moves to a server which is ordered next would have to move again.
 */
export function lastingServers(
  step: steps.Step,
  request: state.RequestState,
): readonly state.ServerState[] {
  const service = step.state.services.get(request.profile.service);
  const servers = softwareVersions
    .compatibleServers(step, request)
    .filter(({ eligible }) => eligible);
  if (service?.type !== configuration.ServiceType.ModelEngine) {
    return servers;
  }
  const loading = servers.filter(({ record }) => record.loading === true);
  const loaded = servers.filter(({ record }) => record.loading !== true);
  const current = loaded.filter(({ record }) => hasDesired(record, service.weightsVersion));
  const outdated = loaded
    .filter((server) => !current.includes(server))
    .sort(({ record: left }, { record: right }) => compareOrder(left, right));
  // The leader tells nobody which engines come next; probably as many as load now.
  return [...current, ...outdated.slice(Math.max(1, loading.length))];
}

/** A server whose version is not known yet is in no roll-out. Versions that are not numbers have no order. */
function hasDesired({ weightsVersion }: state.ServerState['record'], desired: string): boolean {
  return (
    weightsVersion === undefined ||
    weightsVersion === desired ||
    Number(weightsVersion) > Number(desired)
  );
}

/** The leader orders the engines with the oldest weights first, and equal ones by their ids. */
function compareOrder(
  left: state.ServerState['record'],
  right: state.ServerState['record'],
): number {
  const difference = Number(left.weightsVersion ?? 0) - Number(right.weightsVersion ?? 0);
  if (difference !== 0 && !Number.isNaN(difference)) {
    return difference;
  }
  return left.id < right.id ? -1 : 1;
}
