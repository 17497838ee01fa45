import type * as state from './state';

/** A request and a server that might get it. */
export interface Pairing {
  readonly request: state.RequestState;
  readonly server: state.ServerState;
  /** Requests that the server executes at the same time. */
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  /** Tokens that fit into the memory of one server; infinite when it is not known. */
  readonly cacheTokens: number;
  /** Whether the request's fingerprint was in flight at a crash that it may have caused. */
  readonly suspect: boolean;
  /** Servers at which other daemons run their suspects; empty unless the request is a suspect. */
  readonly reserved: ReadonlySet<string>;
  /** Servers with older weights get no work; absent when all may. */
  readonly minimumWeights?: number;
  /** Whether servers with the request's weights are known or, after a publish, to be expected. */
  readonly weightsExpected: boolean;
}

/** A condition that a server must meet to get a request; all filters must admit it. */
export abstract class CandidateFilter {
  abstract admits(pairing: Pairing): boolean;
}
