import * as command from '../command';
import * as configuration from '../configuration';
import * as control from '../control';
import * as membership from '../membership';
import type * as operatorContext from './operator-context';
import * as readiness from './readiness';

/** Revisions of all daemons: this daemon first, then its peers. */
export function daemonRevisions(
  status: control.ControlStatus,
  address: string,
): command.DaemonRevision[] {
  const self = {
    daemonId: status.daemonId,
    zone: status.zone,
    address,
    revision: status.revision,
    connected: true,
    millisecondsSinceHeard: 0,
  };
  return [self, ...status.peers.map((peer) => ({ ...peer }))];
}

/** Status of this daemon, as `figline status` shows it. */
export function statusResponse(sources: operatorContext.OperatorSources): command.StatusResponse {
  const status = sources.plane.status();
  const { queued, running } = sources.router.requestCounts();
  const stage = sources.readiness.current;
  const { Leaving, Draining } = readiness.DaemonStage;
  return {
    daemonId: status.daemonId,
    zone: status.zone,
    region: sources.region,
    ready: sources.readiness.isReady,
    shuttingDown: stage === Leaving || stage === Draining,
    uptimeMilliseconds: sources.time.monotonic() - sources.startedAt,
    revision: status.revision,
    contentHash: configuration.contentHash(sources.plane.configuration().documents.values()),
    control: controlStatus(status),
    daemons: daemonRevisions(status, sources.peerAddress),
    queuedRequests: queued,
    runningRequests: running,
    backendServers: serverCounts(sources.servers(), sources.plane.configuration()),
  };
}

/** The active configuration of this daemon. */
export function configurationResponse(
  snapshot: configuration.ConfigurationSnapshot,
): command.ConfigurationResponse {
  const documents = [...snapshot.documents.values()];
  const contentHash = configuration.contentHash(documents);
  return { revision: snapshot.revision, contentHash, documents };
}

function controlStatus(status: control.ControlStatus): command.StatusResponse['control'] {
  const { role, replicaId, leaderReplicaId, term, commitIndex, voters } = status;
  return { role, replicaId, leaderReplicaId, term, commitIndex, voters: [...voters] };
}

function serverCounts(
  servers: readonly membership.EligibleServer[],
  snapshot: configuration.ConfigurationSnapshot,
): command.StatusResponse['backendServers'] {
  const services = [...new Set(servers.map((server) => server.service))].sort();
  return services.map((service) => {
    const members = servers.filter((server) => server.service === service);
    const suspected = members.filter((server) => server.suspected).length;
    const counts = { service, eligible: members.length, suspected };
    const otherWeights = otherWeightsCount(members, configuredWeights(snapshot, service));
    return otherWeights === undefined ? counts : { ...counts, otherWeights };
  });
}

function configuredWeights(
  snapshot: configuration.ConfigurationSnapshot,
  service: string,
): string | undefined {
  const kind = configuration.DocumentKind.Service;
  const document = snapshot.documents.get(configuration.documentKey({ kind, name: service }));
  return document?.kind === kind && document.type === configuration.ServiceType.ModelEngine
    ? document.weightsVersion
    : undefined;
}

/** Number of engines that do not have the configured weights yet; `undefined` for a plain service. */
function otherWeightsCount(
  members: readonly membership.EligibleServer[],
  configured: string | undefined,
): number | undefined {
  return configured === undefined
    ? undefined
    : members.filter(({ weightsVersion = configured }) => weightsVersion !== configured).length;
}
