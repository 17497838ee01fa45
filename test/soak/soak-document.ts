import * as soakEngine from './soak-engine';

/** How requests of a route may be repeated. */
export enum RequestKind {
  /** A stream that may be taken up again. */
  Reply = 'reply',
  /** A stream that may run once. */
  Report = 'report',
  Charge = 'charge',
  Balance = 'balance',
}

/** The teams; the first is always isolated, the last never. */
export const TEAMS = ['depot', 'harbour', 'school', 'market'] as const;

/** The credential of a team. */
export function credentialOf(team: string): string {
  return `key-of-the-${team}`;
}

/**
 * A routing document in which some teams are isolated.
 *
 * @example
 * documentOf(2, new Set(['depot', 'school']));
 */
export function documentOf(version: number, isolated: ReadonlySet<string>): object {
  return {
    version,
    routes: [
      { ...routeOf(RequestKind.Reply), kind: 'stream', resumable: true, max_attempts: 2 },
      { ...routeOf(RequestKind.Report), kind: 'stream', max_attempts: 1 },
      { ...routeOf(RequestKind.Charge), kind: 'unsafe', max_attempts: 1 },
      { ...routeOf(RequestKind.Balance), kind: 'safe', max_attempts: 2 },
    ],
    services: [{ name: SERVICE, engine: ENGINE }],
    tenants: TEAMS.map((team) => ({
      name: team,
      api_keys: [credentialOf(team)],
      isolated: isolated.has(team),
    })),
  };
}

function routeOf(kind: RequestKind): object {
  return {
    name: kind,
    path_prefix: `/${kind}/`,
    host: HOST,
    service: SERVICE,
    timeout_ms: TIMEOUT_MILLISECONDS,
    sticky: true,
  };
}

export const HOST = 'desk.example';

export const SERVICE = 'desk';

export const TIMEOUT_MILLISECONDS = 3_000;

const ENGINE = {
  slots: soakEngine.SLOTS,
  kv_capacity_tokens: 80_000,
  kv_token_bytes: 262_144,
  link_mbps: 550_000,
  models: [{ name: soakEngine.MODEL }],
};
