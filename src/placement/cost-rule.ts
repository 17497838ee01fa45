import type * as serverLoad from './server-load';

/** The request as far as placement needs it. */
export interface PlacementRequest {
  readonly promptTokens: number;
  readonly chain: readonly string[];
  readonly zone: string;
  readonly region: string;
  readonly suspect: boolean;
  readonly failedServers: readonly string[];
}

/** A server that could take the request now. */
export interface Candidate {
  readonly serverId: string;
  readonly zone: string;
  readonly region: string;
  readonly load: serverLoad.ServerLoad;
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Part of the server's memory that its requests hold; above 1 some of them wait. */
  readonly memoryUse: number;
  /** Tokens at the start of the prompt that are believed to be cached. */
  readonly cachedTokens: number;
  /** Position in the rendezvous order of the anchor; 0 is the home. */
  readonly rank: number;
  /** Servers over which the anchor is spread at present. */
  readonly homeCount: number;
  /** Mean number of requests at the servers of the service. */
  readonly meanRequests: number;
  /** How many times slower than its peers the server is; 1 when it is not. */
  readonly slowdown: number;
  readonly suspected: boolean;
  readonly runsSuspect: boolean;
  /** Whether other servers of the service already have newer weights. */
  readonly outdated: boolean;
}

/**
 * One part of the cost of placing a request at a server, in milliseconds of expected delay or of work
 * caused. The costs of all rules add up, and the cheapest server gets the request.
 */
export abstract class CostRule {
  abstract milliseconds(request: PlacementRequest, candidate: Candidate): number;
}

/**
 * The sum of the rules' costs.
 *
 * @example
 * totalCost(STANDARD_RULES, request, candidate); // 134.2
 */
export function totalCost(
  rules: readonly CostRule[],
  request: PlacementRequest,
  candidate: Candidate,
): number {
  return rules.reduce((sum, rule) => sum + rule.milliseconds(request, candidate), 0);
}
