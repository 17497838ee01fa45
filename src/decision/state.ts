import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as membership from '../membership';
import * as verdict from '../verdict';
import type * as event from './event';
import type * as options from './options';

/** One dispatch of a request that has not ended yet. */
export interface AttemptState {
  readonly attemptId: string;
  readonly serverId: string;
  readonly dispatchedAt: number;
  readonly hedge: boolean;
  /** When the last piece arrived. */
  readonly lastPieceAt?: number;
}

/** A request from its arrival to its end; `attempts` is empty while it is queued. */
export interface RequestState {
  readonly profile: event.RequestProfile;
  readonly arrivedAt: number;
  readonly attempts: readonly AttemptState[];
  readonly attemptCount: number;
  /** Combined over all attempts that have ended. */
  readonly verdict: verdict.Verdict;
  /** First piece that was not delivered yet. */
  readonly nextPiece: number;
  /** Servers at which an attempt failed; used again only when no other is left. */
  readonly failedServers: readonly string[];
}

/** A backend server and this daemon's own work on it. */
export interface ServerState {
  readonly record: membership.EligibleServer;
  readonly eligible: boolean;
  readonly inFlight: number;
}

/** The whole state of the decision core of one daemon. */
export interface DecisionState {
  readonly options: options.DecisionOptions;
  readonly randomSeed: number;
  readonly services: immutable.Map<string, configuration.ServiceDocument>;
  readonly servers: immutable.Map<string, ServerState>;
  readonly requests: immutable.Map<string, RequestState>;
  /** Identifiers of queued requests by service, in order of arrival. */
  readonly queues: immutable.Map<string, immutable.List<string>>;
}

/**
 * The state of a daemon that has just started.
 *
 * @example
 * initialState({ seed: 7, zone: 'caxias-a', region: 'caxias' }).requests.size; // 0
 */
export function initialState(given: options.DecisionOptions): DecisionState {
  return {
    options: given,
    randomSeed: given.seed,
    services: immutable.Map(),
    servers: immutable.Map(),
    requests: immutable.Map(),
    queues: immutable.Map(),
  };
}
