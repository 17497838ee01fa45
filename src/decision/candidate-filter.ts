import type * as state from './state';

/** A request and a candidate server for it. */
export interface Pairing {
  readonly request: state.RequestState;
  readonly server: state.ServerState;
  /** Requests that the server executes at the same time. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Tokens that fit into the memory of one server; infinite when unknown. */
  readonly cacheTokens: number;
  /** Whether the request's fingerprint was in flight at a crash that it may have caused. */
  readonly suspect: boolean;
  /** Servers of the suspect partitions of other daemons; empty unless the request is a suspect. */
  readonly reserved: ReadonlySet<string>;
  /** Whether a limit that the server has named leaves no request to this daemon now. */
  readonly throttled: boolean;
  /** False if the server would probably refuse the request, and its refusals are limited. */
  readonly hasRoom: boolean;
  /** Servers with older weights get no requests; absent when all servers may. */
  readonly minimumWeights?: number;
  /** Whether a server has the request's weights, or will load them after a publish. */
  readonly weightsExpected: boolean;
}

/** A condition that a server must meet to get a request; all filters of a list must admit it. */
export abstract class CandidateFilter {
  abstract admits(pairing: Pairing): boolean;
}
