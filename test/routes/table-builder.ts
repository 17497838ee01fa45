import * as routes from '../../src/routes';

export const SERVICE = 'inspection-desk';

export function route(changes: Partial<routes.Route>): routes.Route {
  return {
    name: 'assess',
    host: 'desk.example',
    pathPrefix: '/desk/',
    kind: routes.RouteKind.Stream,
    timeoutMilliseconds: 5_000,
    targetLatencyMilliseconds: 600,
    priority: 1,
    shares: [{ service: SERVICE, weight: 1 }],
    maximumAttempts: 2,
    isPublic: false,
    isResumable: true,
    ...changes,
  };
}

export function team(name: string, credentials: readonly string[]): routes.RoutedTeam {
  return { name, credentials, isIsolated: false };
}

export function table(
  list: readonly routes.Route[],
  teams?: readonly routes.RoutedTeam[],
): routes.RoutingTable {
  const engine = {
    model: 'desk-model',
    slots: 8,
    cacheTokens: 80_000,
    cacheTokenBytes: 262_144,
    linkMegabitsPerSecond: 550_000,
  };
  const services = [{ name: SERVICE, healthPath: '/health', maximumConnections: 100, engine }];
  return { version: 1, routes: list, services, ...(teams === undefined ? {} : { teams }) };
}
