/** Sizes of a measured deployment. */
export interface DeploymentPlan {
  readonly controls: number;
  readonly engines: number;
  readonly plainServers: number;
  /** Gateways besides the one under test. */
  readonly peers: number;
  readonly teams: number;
}

export enum DeploymentSize {
  /** The larger of the grown deployments. */
  Grown = 'grown',
  Large = 'large',
}

export const DEPLOYMENTS: Readonly<Record<DeploymentSize, DeploymentPlan>> = {
  [DeploymentSize.Grown]: { controls: 6, engines: 63, plainServers: 6, peers: 86, teams: 86 },
  [DeploymentSize.Large]: { controls: 6, engines: 109, plainServers: 6, peers: 193, teams: 140 },
};

/** Requests to the gateway under test. */
export interface CallPlan {
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Counts of the requests of one call plan. */
export interface CallCounts {
  readonly requests: number;
  /** Complete answers with status 200. */
  readonly succeeded: number;
  /** Events of streams. */
  readonly events: number;
}

/** Names in the routing document of a measurement. */
export const HOST = 'desk.example';
export const MODEL = 'desk-model';
export const ENGINE_SERVICE = 'desk';
export const PLAIN_SERVICE = 'ledger';

/** Credential of one of the teams. */
export function credentialOf(team: number): string {
  return `key-of-team-${team}`;
}

/** The routing document of both grown deployments: two kinds of streams, a charge and a look-up. */
export function routingDocument({ teams }: DeploymentPlan): string {
  const stream = {
    host: HOST,
    kind: 'stream',
    service: ENGINE_SERVICE,
    max_attempts: 2,
    resumable: true,
  };
  const plain = { host: HOST, service: PLAIN_SERVICE, timeout_ms: 1_232 };
  const engine = {
    slots: 32,
    kv_capacity_tokens: 71_780,
    kv_token_bytes: 262_144,
    link_mbps: 550_000,
    models: [{ name: MODEL }],
  };
  return JSON.stringify({
    version: 1,
    routes: [
      { ...stream, name: 'assess', path_prefix: '/assess/', timeout_ms: 5_126, max_attempts: 1 },
      { ...stream, name: 'reply', path_prefix: '/reply/', timeout_ms: 15_244 },
      { ...plain, name: 'deposit', path_prefix: '/deposit/', kind: 'unsafe' },
      { ...plain, name: 'balance', path_prefix: '/balance/', kind: 'safe', max_attempts: 2 },
    ],
    services: [
      { name: ENGINE_SERVICE, max_conns: 710, engine },
      { name: PLAIN_SERVICE, max_conns: 580 },
    ],
    tenants: Array.from({ length: teams }, (_unused, team) => ({
      name: `team-${team}`,
      api_keys: [credentialOf(team)],
      priority: 1,
    })),
  });
}
