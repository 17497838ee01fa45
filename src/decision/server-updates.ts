import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as health from '../health';
import * as membership from '../membership';
import * as placement from '../placement';
import type * as event from './event';
import * as serviceAvailability from './service-availability';
import type * as state from './state';
import type * as steps from './step';

/** Takes over services and teams of a new configuration. */
export function applyConfiguration(step: steps.Step, given: event.ConfigurationChanged): void {
  const documents = [...given.snapshot.documents.values()];
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

/** Replaces the list of servers. A server that is no longer listed keeps its running work. */
export function applyServers(step: steps.Step, given: event.ServersChanged): void {
  const before = step.state.servers;
  const listed = new Set(given.servers.map((record) => record.id));
  const draining = before
    .filter((server, id) => !listed.has(id) && server.load.own.requests > 0)
    .map((server) => ({ ...server, eligible: false }));
  before.keySeq().forEach((id) => {
    if (!listed.has(id)) {
      forget(step, id);
    }
  });
  const servers = given.servers.map((record) => {
    const known = before.get(record.id) ?? newServer(record);
    const loadingSince = record.loading === true ? (known.loadingSince ?? step.at) : undefined;
    return [record.id, { ...known, record, loadingSince, eligible: true }] as const;
  });
  step.change({ servers: draining.merge(immutable.Map(servers)) });
  given.servers.forEach((record) => {
    if (record.incarnation !== undefined) {
      observeIncarnation(step, record.id, record.incarnation);
    }
  });
  given.servers
    .filter(({ id, weightsVersion }) => before.get(id)?.record.weightsVersion !== weightsVersion)
    .forEach(({ id }) => step.change({ index: placement.forgetServer(step.state.index, id) }));
  rebuildPools(step);
  if (given.listed !== undefined) {
    step.change({ listed: listedByService(given.listed) });
  }
  serviceAvailability.failUnavailable(step);
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

/** Takes over a load report, unless it is from an earlier incarnation. */
export function applyLoadReport(step: steps.Step, given: event.LoadReported): void {
  observeIncarnation(step, given.serverId, given.incarnation);
  const server = step.state.servers.get(given.serverId);
  if (server?.incarnation !== given.incarnation) {
    return;
  }
  const measurement = {
    requests: given.runningRequests + given.queuedRequests,
    prefillTokens: given.queuedPrefillTokens,
    memoryTokens: given.memoryTokens,
    measuredAt: step.at - given.ageMilliseconds,
  };
  step.setServer({ ...server, load: placement.applyMeasurement(server.load, measurement) });
}

/** Takes over the load of all servers at once; none of them is an earlier incarnation's. */
export function applyLoads(step: steps.Step, given: event.LoadsReported): void {
  const byServer = new Map(given.loads.map((load) => [load.serverId, load]));
  const measuredAt = step.at - given.ageMilliseconds;
  const servers = step.state.servers.map((server, serverId) => {
    const { requests, prefillTokens, memoryTokens } = byServer.get(serverId) ?? NO_LOAD;
    const measurement = { requests, prefillTokens, memoryTokens, measuredAt };
    return { ...server, load: placement.applyMeasurement(server.load, measurement) };
  });
  step.change({ servers });
}

/** Takes over where other daemons have sent prefixes. */
export function applyPlacements(
  step: steps.Step,
  { placements: placings }: event.PrefixesPlaced,
): void {
  step.change({ peerCache: placement.learnPlacements(step.state.peerCache, placings, step.at) });
}

/** A cache event is used as negative evidence only. */
export function applyEviction(step: steps.Step, given: event.CacheEvicted): void {
  const { serverId, incarnation, chainHash } = given;
  const index = placement.forgetBlock(step.state.index, serverId, incarnation, chainHash);
  step.change({ index });
}

/**
 * Notes which incarnation of a server is alive. What was learned about an earlier one is dropped, and an
 * earlier one never becomes the current one again, however late its messages arrive.
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
  if (server.incarnation !== undefined) {
    step.change({ timings: health.forgetTimings(step.state.timings, serverId) });
  }
}

/** Adds a dead incarnation to the few that are remembered. */
export function addDeadIncarnation(
  dead: readonly string[],
  incarnation: string,
): readonly string[] {
  return dead.includes(incarnation) ? dead : [...dead, incarnation].slice(-REMEMBERED_INCARNATIONS);
}

function forget(step: steps.Step, serverId: string): void {
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
    suspects: 0,
    probedAt: 0,
  };
}

function rebuildPools(step: steps.Step): void {
  const byService = step.state.servers.groupBy((server) => server.record.service);
  step.change({ pools: byService.map((servers) => [...servers.keys()].sort()).toMap() });
}

const NO_LOAD = { requests: 0, prefillTokens: 0, memoryTokens: 0 };

const REMEMBERED_INCARNATIONS = 8;
