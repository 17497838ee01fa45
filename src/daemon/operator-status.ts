import * as command from '../command';
import * as configuration from '../configuration';
import * as control from '../control';
import * as membership from '../membership';
import type * as operatorContext from './operator-context';
import * as readiness from './readiness';

/** The asked daemon first, then its peers. */
export function daemonRevisions(
  status: control.ControlStatus,
  address: string,
): command.DaemonRevision[] {
  const own = {
    daemonId: status.daemonId,
    zone: status.zone,
    address,
    revision: status.revision,
    connected: true,
    millisecondsSinceHeard: 0,
  };
  return [own, ...status.peers.map((peer) => ({ ...peer }))];
}

/** What `figline status` shows of one daemon. */
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
    backendServers: serverCounts(sources.servers()),
  };
}

/** The active configuration of the asked daemon. */
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
): command.StatusResponse['backendServers'] {
  const services = [...new Set(servers.map((server) => server.service))].sort();
  return services.map((service) => {
    const members = servers.filter((server) => server.service === service);
    const suspected = members.filter((server) => server.suspected).length;
    return { service, eligible: members.length, suspected };
  });
}
