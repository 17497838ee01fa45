import * as immutable from 'immutable';
import * as placement from '../placement';
import type * as state from './state';

type Servers = immutable.Map<string, state.ServerState>;

/**
 * The servers with the last report of all daemons' load. Reports arrive several times a second and concern all servers,
 * so that a report is applied only when a request needs the loads, and not at all if the next one arrives before.
 *
 * @example
 * currentServers(decisionState).get('runner-0')?.load.others.requests; // 4
 */
export function currentServers({ servers, pendingLoads }: state.DecisionState): Servers {
  if (pendingLoads === undefined) {
    return servers;
  }
  const { loads, measuredAt } = pendingLoads;
  const byServer = new Map(loads.map((load) => [load.serverId, load]));
  return servers.map((server, serverId) => {
    const { requests, prefillTokens, memoryTokens } = byServer.get(serverId) ?? NO_LOAD;
    const measurement = { requests, prefillTokens, memoryTokens, measuredAt };
    return { ...server, load: placement.applyMeasurement(server.load, measurement) };
  });
}

const NO_LOAD = { requests: 0, prefillTokens: 0, memoryTokens: 0 };
