import type * as serverLoad from './server-load';

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  readonly promptTokens: number;
  readonly chain: readonly string[];
  readonly zone: string;
  readonly region: string;
  /** Whether the request may have caused a crash. */
  readonly suspect: boolean;
  readonly failedServers: readonly string[];
}

/** A server that may get the request, and its state as the cost rules use it. */
export interface Candidate {
  readonly serverId: string;
  readonly zone: string;
  readonly region: string;
  readonly load: serverLoad.ServerLoad;
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Fraction of the server's memory that its requests hold; above 1 some of them wait. */
  readonly memoryUse: number;
  /** Tokens at the start of the prompt that are probably cached. */
  readonly cachedTokens: number;
  /** Position in the rendezvous order of the affinity key; 0 is the first home server. */
  readonly rank: number;
  /** Number of servers at the start of the rendezvous order that are homes of the prefix now. */
  readonly homeCount: number;
  /** Mean number of requests at the servers of the service. */
  readonly meanRequests: number;
  /** How many times slower than its peers the server is; 1 when it is not. */
  readonly slowdown: number;
  /** Whether the server may be dead. */
  readonly suspected: boolean;
  /** Whether a request of this daemon that may have caused a crash runs there. */
  readonly runsSuspect: boolean;
  /** Whether other servers of the service already have newer weights. */
  readonly outdated: boolean;
}

/**
 * One part of the cost of a request at a server, in milliseconds of expected delay or of server time. The
 * costs of all rules are added, and the cheapest server gets the request.
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
