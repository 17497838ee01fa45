import type * as routingTable from './routing-table';

/**
 * Converts the rank of a request, of which 0 is the most urgent, into a priority, of which the highest is served first. The rank
 * of a team takes precedence over that of the route.
 *
 * @example
 * priorityOf({ priority: 0 }) > priorityOf({ priority: 2 }); // true
 */
export function priorityOf(
  route: Pick<routingTable.Route, 'priority'>,
  team?: Pick<routingTable.RoutedTeam, 'priority'>,
): number {
  return -(team?.priority ?? route.priority);
}

/** Reverses `priorityOf`. */
export function rankOf(priority: number): number {
  return priority === 0 ? 0 : -priority;
}
