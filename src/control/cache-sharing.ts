import * as immutable from 'immutable';

/** The teams of a routing document. */
export interface DocumentTeams {
  /** Names of the teams whose cached prompt parts are separate from those of all others. */
  readonly isolated: readonly string[];
  /** Names of the teams that share their cached prompt parts. */
  readonly sharing: readonly string[];
}

/**
 * Since when the teams that are not isolated share cached prompt parts. Nobody can tell which team has made a shared part, so
 * that the others must stop using all shared parts when one of the teams that may have made some becomes isolated.
 */
export interface CacheSharing {
  /** Version of the routing document since which parts are shared; absent if no team that has shared was isolated so far. */
  readonly since?: number;
  /** All teams that may have shared parts since then, also those that have left; absent if they are not known. */
  readonly teams?: immutable.Set<string>;
}

/**
 * The sharing under the next routing document. It starts anew only if a team is isolated that may have shared before, so that
 * other changes of teams cost nobody its cached parts.
 *
 * @param sharing absent before the first routing document, and in the state of releases that did not keep it
 * @param teams absent in commands of releases that did not send them
 * @example
 * const first = nextSharing(undefined, 1, { isolated: [], sharing: ['depot', 'market'] }, true);
 * nextSharing(first, 2, { isolated: ['depot'], sharing: ['market'] }, false).since; // 2
 */
export function nextSharing(
  sharing: CacheSharing | undefined,
  version: number,
  teams: DocumentTeams | undefined,
  isFirstDocument: boolean,
): CacheSharing {
  if (teams === undefined) {
    return { since: isFirstDocument ? undefined : version };
  }
  const known = isFirstDocument ? immutable.Set<string>() : sharing?.teams;
  const isSeparated =
    known === undefined
      ? teams.isolated.length > 0
      : teams.isolated.some((name) => known.has(name)) || known.size > MAXIMUM_TEAMS;
  if (isSeparated) {
    return { since: version, teams: immutable.Set(teams.sharing) };
  }
  return { since: sharing?.since, teams: known?.union(teams.sharing) };
}

/** Far above the teams of a routing document; teams that have left are kept as well. */
const MAXIMUM_TEAMS = 10_000;
