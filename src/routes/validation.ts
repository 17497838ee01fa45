import type * as routingTable from './routing-table';

/**
 * All errors that make a routing table unusable, one sentence each; empty for a valid table.
 *
 * @example
 * faultsOf(table).join('; '); // 'route r-1 names the unknown service s-2'
 */
export function validationErrors(table: routingTable.RoutingTable): readonly string[] {
  return [
    ...table.routes.flatMap((route) => routeErrors(route, table)),
    ...duplicateRoutes(table.routes),
    ...sharedCredentials(table.teams ?? []),
  ];
}

function routeErrors(
  route: routingTable.Route,
  { services }: routingTable.RoutingTable,
): readonly string[] {
  const known = new Set(services.map((service) => service.name));
  const unknown = route.shares.filter((share) => !known.has(share.service));
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  return [
    ...unknown.map(({ service }) => `route ${route.name} names the unknown service ${service}`),
    ...(total > 0 ? [] : [`the weights of route ${route.name} add up to 0`]),
    ...(route.timeoutMilliseconds > 0 ? [] : [`the timeout of route ${route.name} is 0`]),
  ];
}

function duplicateRoutes(routes: readonly routingTable.Route[]): readonly string[] {
  const hostsAndPaths = routes.map((route) => `${route.host.toLowerCase()}${route.pathPrefix}`);
  return repeated(hostsAndPaths).map((hostAndPath) => `two routes have the place ${hostAndPath}`);
}

/** Credentials are secrets, so that the message does not contain them. */
function sharedCredentials(teams: readonly routingTable.RoutedTeam[]): readonly string[] {
  const credentials = teams.flatMap((team) => [...new Set(team.credentials)]);
  return repeated(credentials).length === 0 ? [] : ['two teams share a credential'];
}

function repeated(values: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const twice = new Set<string>();
  values.forEach((value) => (seen.has(value) ? twice.add(value) : seen.add(value)));
  return [...twice];
}
