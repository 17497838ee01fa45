import type * as routingTable from './routing-table';

/** Index for lookups in one routing table. */
export class RouteIndex {
  /** Routes of each host, the longest path prefix first. */
  private readonly routesByHost = new Map<string, routingTable.Route[]>();

  private readonly teamsByCredential = new Map<string, routingTable.RoutedTeam>();

  private readonly teamsByName = new Map<string, routingTable.RoutedTeam>();

  private readonly servicesByName: ReadonlyMap<string, routingTable.RoutedService>;

  constructor(readonly table: routingTable.RoutingTable) {
    table.routes.forEach((route) => {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    });
    this.routesByHost.forEach((routes) =>
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
    );
    table.teams?.forEach((team) => {
      this.teamsByName.set(team.name, team);
      team.credentials.forEach((credential) => this.teamsByCredential.set(credential, team));
    });
    this.servicesByName = new Map(table.services.map((service) => [service.name, service]));
  }

  /**
   * The route with the longest path prefix among those of the host.
   *
   * @param host value of the `Host` header, with or without a port
   * @param path path with or without a query string
   * @example
   * index.route('desk.example', '/assess/42')?.name;
   */
  route(host: string, path: string): routingTable.Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const [plain] = path.split('?', 1);
    return this.routesByHost.get(name)?.find(({ pathPrefix }) => plain.startsWith(pathPrefix));
  }

  /** Whether requests need a credential, unless their route is public. */
  get needsCredential(): boolean {
    return this.table.teams !== undefined;
  }

  team(credential: string | undefined): routingTable.RoutedTeam | undefined {
    return credential === undefined ? undefined : this.teamsByCredential.get(credential);
  }

  teamNamed(name: string): routingTable.RoutedTeam | undefined {
    return this.teamsByName.get(name);
  }

  service(name: string): routingTable.RoutedService | undefined {
    return this.servicesByName.get(name);
  }

  /** The first KV cache store, if there is one. */
  get store(): routingTable.StoreTraits | undefined {
    return this.table.services.find((service) => service.store !== undefined)?.store;
  }
}

/**
 * Chooses a service at random by the weights of a route.
 *
 * @param random from 0 to 1, 1 excluded
 * @example
 * chooseService([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], 0.95); // 'b'
 */
export function chooseService(
  shares: readonly routingTable.ServiceShare[],
  random: number,
): string {
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let remainder = random * total;
  const found = shares.find((share) => {
    remainder -= share.weight;
    return remainder < 0;
  });
  return (found ?? shares[shares.length - 1]).service;
}
