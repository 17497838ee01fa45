import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as health from '../health';
import * as membership from '../membership';
import * as placement from '../placement';
import type * as event from './event';
import * as serverPauses from './server-pauses';
import * as serviceAvailability from './service-availability';
import type * as state from './state';
import type * as steps from './step';

/** Applies the services and teams of a new configuration. */
export function applyConfiguration(
  step: steps.Step,
  configurationEvent: event.ConfigurationChanged,
): void {
  const documents = [...configurationEvent.snapshot.documents.values()];
  const services = documents.flatMap((document) =>
    document.kind === configuration.DocumentKind.Service ? [document] : [],
  );
  const teams = documents.flatMap((document) =>
    document.kind === configuration.DocumentKind.Team ? [document] : [],
  );
  step.change({
    services: immutable.Map(services.map((service) => [service.name, service])),
    shares: immutable.Map(teams.map((team) => [team.name, team.share])),
  });
  serviceAvailability.failUnavailable(step);
}

/**
 * Replaces the list of servers. A server that is no longer listed finishes its running requests. Servers whose record is
 * the same object are left alone: most lists differ in one server.
 */
export function applyServers(step: steps.Step, serversEvent: event.ServersChanged): void {
  const { servers: previousServers } = step.state;
  const listed = new Set(serversEvent.servers.map((record) => record.id));
  const unlisted = [...previousServers.keys()].filter((id) => !listed.has(id));
  const changed = serversEvent.servers.filter(
    (record) => !isUnchanged(previousServers.get(record.id), record),
  );
  unlisted.forEach((id) => forgetServer(step, id));
  step.change({
    servers: previousServers.withMutations((mutable) => {
      unlisted.forEach((id) => removeServer(mutable, id));
      changed.forEach((record) =>
        mutable.set(record.id, withRecord(previousServers.get(record.id), record, step.at)),
      );
    }),
  });
  changed.forEach(({ id, incarnation, weightsVersion }) => {
    if (incarnation !== undefined) {
      observeIncarnation(step, id, incarnation);
    }
    if (previousServers.get(id)?.record.weightsVersion !== weightsVersion) {
      step.change({ index: placement.forgetServer(step.state.index, id) });
    }
  });
  if (unlisted.length > 0 || changed.some(({ id, service }) => isNewIn(step, service, id))) {
    rebuildPools(step);
  }
  if (serversEvent.listed !== undefined) {
    applyListed(step, serversEvent.listed);
  }
  serviceAvailability.failUnavailable(step);
}

function isUnchanged(
  previous: state.ServerState | undefined,
  record: membership.EligibleServer,
): boolean {
  return previous !== undefined && previous.eligible && previous.record === record;
}

/** Keeps a server without a record in the list while it runs requests. */
function removeServer(servers: immutable.Map<string, state.ServerState>, id: string): void {
  const server = servers.get(id)!;
  if (server.load.own.requests > 0) {
    servers.set(id, { ...server, eligible: false });
  } else {
    servers.delete(id);
  }
}

function withRecord(
  known: state.ServerState | undefined,
  record: membership.EligibleServer,
  at: number,
): state.ServerState {
  const previous = known ?? newServer(record);
  const isLoading = record.loading === true && record.isLoadingPresumed !== true;
  const loadingSince = isLoading ? (previous.loadingSince ?? at) : undefined;
  return { ...previous, record, loadingSince, eligible: true };
}

/** Whether the pool of the service lacks the server, because it is new or was in another service. */
function isNewIn(step: steps.Step, service: string, id: string): boolean {
  return step.state.pools.get(service)?.includes(id) !== true;
}

/** Groups the ids only when they have changed. */
function applyListed(step: steps.Step, listed: readonly event.ListedServer[]): void {
  const known = new Set(
    [...step.state.listed].flatMap(([service, ids]) => ids.map((id) => `${service}/${id}`)),
  );
  const isSame =
    known.size === listed.length &&
    listed.every(({ id, service }) => known.has(`${service}/${id}`));
  if (!isSame) {
    step.change({ listed: listedByService(listed) });
  }
}

function listedByService(
  listed: readonly event.ListedServer[],
): immutable.Map<string, readonly string[]> {
  return immutable
    .List(listed)
    .groupBy((server) => server.service)
    .map((servers) =>
      servers
        .map((server) => server.id)
        .toArray()
        .sort(),
    )
    .toMap();
}

/** Applies a load report, unless it comes from an earlier incarnation. */
export function applyLoadReport(step: steps.Step, loadEvent: event.LoadReported): void {
  step.applyPendingLoads();
  observeIncarnation(step, loadEvent.serverId, loadEvent.incarnation);
  const server = step.state.servers.get(loadEvent.serverId);
  if (server?.incarnation !== loadEvent.incarnation) {
    return;
  }
  const measurement = {
    requests: loadEvent.runningRequests + loadEvent.queuedRequests,
    prefillTokens: loadEvent.queuedPrefillTokens,
    memoryTokens: loadEvent.memoryTokens,
    measuredAt: step.at - loadEvent.ageMilliseconds,
  };
  step.setServer({ ...server, load: placement.applyMeasurement(server.load, measurement) });
}

/** Keeps the load of all servers until it is needed; the sender has left out earlier incarnations. */
export function applyLoads(step: steps.Step, loadsEvent: event.LoadsReported): void {
  const measuredAt = step.at - loadsEvent.ageMilliseconds;
  step.change({ pendingLoads: { loads: loadsEvent.loads, measuredAt } });
}

/** Replaces the demand of all daemons. */
export function applyDemand(
  step: steps.Step,
  { totalMilliseconds, keys }: event.DemandReported,
): void {
  const byHash = new Map(keys.map((key) => [key.hash, key]));
  step.change({ fleetDemand: { at: step.at, totalMilliseconds, keys: byHash } });
}

/** Records to which servers other daemons have sent prefixes. */
export function applyPlacements(step: steps.Step, { placements }: event.PrefixesPlaced): void {
  step.change({ peerCache: placement.learnPlacements(step.state.peerCache, placements, step.at) });
}

/** Removes an evicted block from the prefix index; events about stored blocks are not used. */
export function applyEviction(step: steps.Step, evictionEvent: event.CacheEvicted): void {
  const { serverId, incarnation, chainHash } = evictionEvent;
  const index = placement.forgetBlock(step.state.index, serverId, incarnation, chainHash);
  step.change({ index });
}

/**
 * Records the current incarnation of a server and drops what was learned about the previous one. A message
 * that arrives late never makes an earlier incarnation the current one again.
 */
export function observeIncarnation(step: steps.Step, serverId: string, incarnation: string): void {
  const server = step.state.servers.get(serverId);
  if (
    server === undefined ||
    server.incarnation === incarnation ||
    server.deadIncarnations.includes(incarnation)
  ) {
    return;
  }
  const deadIncarnations =
    server.incarnation === undefined
      ? server.deadIncarnations
      : addDeadIncarnation(server.deadIncarnations, server.incarnation);
  step.setServer({ ...server, incarnation, deadIncarnations });
  step.change({ index: placement.forgetServer(step.state.index, serverId, incarnation) });
  if (server.incarnation === undefined) {
    serverPauses.bindPause(step, serverId, incarnation);
  } else {
    step.change({ timings: health.forgetTimings(step.state.timings, serverId) });
  }
}

/** Appends a dead incarnation and keeps the last `REMEMBERED_INCARNATIONS`. */
export function addDeadIncarnation(
  dead: readonly string[],
  incarnation: string,
): readonly string[] {
  return dead.includes(incarnation) ? dead : [...dead, incarnation].slice(-REMEMBERED_INCARNATIONS);
}

function forgetServer(step: steps.Step, serverId: string): void {
  step.change({
    index: placement.forgetServer(step.state.index, serverId),
    timings: health.forgetTimings(step.state.timings, serverId),
    slowdowns: step.state.slowdowns.delete(serverId),
  });
}

function newServer(record: membership.EligibleServer): state.ServerState {
  return {
    record,
    eligible: true,
    deadIncarnations: [],
    load: placement.IDLE_LOAD,
    suspectAttempts: 0,
    probedAt: 0,
  };
}

function rebuildPools(step: steps.Step): void {
  const byService = step.state.servers.groupBy((server) => server.record.service);
  step.change({ pools: byService.map((servers) => [...servers.keys()].sort()).toMap() });
}

const REMEMBERED_INCARNATIONS = 8;
