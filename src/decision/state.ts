import * as immutable from 'immutable';
import * as admission from '../admission';
import * as configuration from '../configuration';
import * as health from '../health';
import * as membership from '../membership';
import * as placement from '../placement';
import * as verdict from '../verdict';
import type * as event from './event';
import type * as options from './options';
import * as refusalLimits from './refusal-limits';
import * as serverPauses from './server-pauses';
import * as suspectPartition from './suspect-partition';

/** One dispatch of a request that has not ended yet. */
export interface AttemptState {
  readonly attemptId: string;
  readonly serverId: string;
  /** Incarnation of the server at the dispatch; absent when it was unknown. */
  readonly incarnation?: string;
  /** Version of the server's software at the dispatch, if the list contains it. */
  readonly softwareVersion?: string;
  readonly dispatchedAt: number;
  readonly hedge: boolean;
  /** Set if the attempt was started to take a stream over from a server at which it ran well. */
  readonly offer?: true;
  /** Whether the fingerprint was suspected at the dispatch. */
  readonly suspect: boolean;
  /** Time to the first piece as expected at the dispatch, corrected by the headers of the answer. */
  readonly expectedMilliseconds: number;
  /** Prompt tokens counted as waiting for prefill at the server; 0 after the first piece. */
  readonly prefillTokens: number;
  /** When the prefix index last had each block of the prompt as cached, as of the dispatch. */
  readonly lastCachedTimes: placement.LastCachedTimes;
  /** When the first piece of this attempt arrived. */
  readonly firstPieceAt?: number;
  /** Whether pieces still arrived some time after the first one, so that beginning the answer has not crashed the server. */
  readonly hasBegunSafely?: true;
  /** When the last piece arrived. */
  readonly lastPieceAt?: number;
  /** Set if the server was found dead while pieces of this attempt still arrived. */
  readonly isDoubtful?: true;
  /** Number of the next piece of this attempt. */
  readonly nextPiece: number;
}

/** A request from its arrival to its end. */
export interface RequestState {
  readonly profile: event.RequestProfile;
  readonly lane: admission.Lane;
  readonly arrivedAt: number;
  /** Present while the request is queued. */
  readonly entry?: admission.QueueEntry;
  /** True while the request waits outside the queue for its quarantine, or for a retry. */
  readonly held: boolean;
  /** Monotonic time in milliseconds from which the request may be sent again; set while a started stream waits for a retry. */
  readonly retryFrom?: number;
  /** When the retry was counted that the request waits to use; absent unless it waits with one. */
  readonly retryCountedAt?: number;
  readonly attempts: readonly AttemptState[];
  readonly attemptCount: number;
  /** Ended attempts that may have run. */
  readonly runCount?: number;
  /** Servers that were offered the stream and were late; a server that fails afterwards is removed. */
  readonly lateServers?: readonly string[];
  /** Servers whose ended attempts may have run, once for each. */
  readonly triedServers?: readonly string[];
  /** Attempts that were not run, one after the other, since the last piece. */
  readonly refusals?: number;
  /** Combined verdict of all ended attempts. */
  readonly verdict: verdict.Verdict;
  /** Number of the first piece that is not yet delivered. */
  readonly nextPiece: number;
  /** Software version of the server that wrote the pieces that the caller has; absent before the first one. */
  readonly softwareVersion?: string;
  /** When the stream was last offered to another server. */
  readonly offeredAt?: number;
  /** Servers at which an attempt failed; used again only when no other is left. */
  readonly failedServers: readonly string[];
}

/** State of a backend server in the decision core. */
export interface ServerState {
  readonly record: membership.EligibleServer;
  /** When the server started to load weights; absent while it loads none. */
  readonly loadingSince?: number;
  /** False for a server that may get no new requests and finishes its running ones. */
  readonly eligible: boolean;
  readonly incarnation?: string;
  /** Earlier incarnations, newest last; messages from them are ignored. */
  readonly deadIncarnations: readonly string[];
  readonly load: placement.ServerLoad;
  /** Attempts of this daemon in flight whose fingerprints are suspected. */
  readonly suspectAttempts: number;
  /** When a request was last sent to this server to detect whether it is still a straggler. */
  readonly probedAt: number;
}

/** Load of all daemons at the servers; a server that is not named is idle. */
export interface PendingLoads {
  readonly loads: readonly event.ReportedLoad[];
  readonly measuredAt: number;
}

/** This daemon's shares of the limits that servers have named, by server. */
export type RequestLimits = immutable.Map<string, admission.RateShare>;

/** What the last pass over the queues has seen. */
export interface QueuePass {
  readonly at: number;
  readonly inputs: readonly unknown[];
}

/** Smoothed observations of one service. */
export interface ServiceTiming {
  /** Time from a dispatch to the first piece. */
  readonly firstPieceMilliseconds: number;
  /** Ratio of the time for which a request occupied a slot to its estimated cost. */
  readonly costRatio: number;
  /** Factor on expected waits; it rises when requests expire in the queue and falls slowly. */
  readonly waitSafetyFactor: number;
}

/** The whole state of the decision core of one daemon. */
export interface DecisionState {
  readonly options: options.DecisionOptions;
  /** Seed of the next random choice. */
  readonly randomSeed: number;
  readonly services: immutable.Map<string, configuration.ServiceDocument>;
  /** Weight of each team in fair sharing. */
  readonly shares: immutable.Map<string, number>;
  readonly servers: immutable.Map<string, ServerState>;
  /** Sorted identifiers of the servers of each service in the platform's list, dead ones too. */
  readonly listed: immutable.Map<string, readonly string[]>;
  readonly peers: suspectPartition.PeerPosition;
  /** The last report of all daemons' load, until it is applied to the servers. */
  readonly pendingLoads?: PendingLoads;
  /** Identifiers of the servers of each service, in alphabetical order. */
  readonly pools: immutable.Map<string, readonly string[]>;
  readonly requests: immutable.Map<string, RequestState>;
  readonly queues: immutable.Map<string, admission.ServiceQueue>;
  readonly queuePass?: QueuePass;
  /** Identifiers of the requests that wait outside the queues, the one that has waited longest first. */
  readonly heldRequests: immutable.OrderedSet<string>;
  readonly index: placement.PrefixIndex;
  /** Where other daemons have sent prefixes. */
  readonly peerCache: placement.PeerCache;
  /** Demand of this daemon's requests. */
  readonly prefixDemand: placement.PrefixDemand;
  /** Demand of all daemons' requests, if it was reported. */
  readonly fleetDemand?: placement.FleetDemand;
  readonly timings: health.Timings;
  /** Servers that are slower than their peers, each with the factor. */
  readonly slowdowns: immutable.Map<string, number>;
  readonly serviceTimings: immutable.Map<string, ServiceTiming>;
  readonly quarantine: health.Quarantine;
  readonly requestLimits: RequestLimits;
  readonly refusalLimits: refusalLimits.RefusalLimits;
  readonly serverPauses: serverPauses.ServerPauses;
  /** Which parts of prompts crash servers. */
  readonly crashEvidence: health.CrashEvidence;
  /** Number of daemons that share the slack of the retry limits, once it is known. */
  readonly daemons?: number;
  readonly retryBudgets: immutable.Map<string, admission.RetryBudget>;
  readonly hedgeBudget: admission.Budget;
  readonly probeBudget: admission.Budget;
  /** When this daemon interrupts its requests; absent unless it stops. */
  readonly stopsAt?: number;
  /** When stragglers, late first tokens and servers that load weights were last checked. */
  readonly checkedAt: number;
  /** When expired entries were last removed. */
  readonly prunedAt: number;
}

/**
 * The state of a daemon that has just started.
 *
 * @example
 * initialState({ seed: 7, zone: 'caxias-a', region: 'caxias' }).requests.size; // 0
 */
export function initialState(decisionOptions: options.DecisionOptions): DecisionState {
  return {
    options: decisionOptions,
    randomSeed: decisionOptions.seed,
    services: immutable.Map<string, configuration.ServiceDocument>(),
    shares: immutable.Map<string, number>(),
    servers: immutable.Map<string, ServerState>(),
    listed: immutable.Map<string, readonly string[]>(),
    peers: suspectPartition.SINGLE_DAEMON,
    pools: immutable.Map<string, readonly string[]>(),
    requests: immutable.Map<string, RequestState>(),
    queues: immutable.Map<string, admission.ServiceQueue>(),
    heldRequests: immutable.OrderedSet<string>(),
    index: placement.EMPTY_INDEX,
    peerCache: placement.EMPTY_PEER_CACHE,
    prefixDemand: placement.EMPTY_PREFIX_DEMAND,
    timings: health.EMPTY_TIMINGS,
    slowdowns: immutable.Map<string, number>(),
    serviceTimings: immutable.Map<string, ServiceTiming>(),
    quarantine: health.EMPTY_QUARANTINE,
    requestLimits: immutable.Map<string, admission.RateShare>(),
    refusalLimits: refusalLimits.NO_REFUSAL_LIMITS,
    serverPauses: serverPauses.NO_SERVER_PAUSES,
    crashEvidence: health.EMPTY_CRASH_EVIDENCE,
    daemons: decisionOptions.retryLimits === undefined ? 1 : decisionOptions.daemons,
    retryBudgets: immutable.Map<string, admission.RetryBudget>(),
    hedgeBudget: decisionOptions.hedgeBudget ?? admission.HEDGE_BUDGET,
    probeBudget: admission.PROBE_BUDGET,
    checkedAt: 0,
    prunedAt: 0,
  };
}

/**
 * Whether requests wait for a server. The daemon then sends `Tick` events more often, to fail requests at
 * their deadlines; the deadlines of running requests are checked by their attempts.
 *
 * @example
 * isWaiting(initialState(options)); // false
 */
export function isWaiting({ queues, heldRequests }: DecisionState): boolean {
  return !heldRequests.isEmpty() || queues.some((queue) => !queue.lanes.isEmpty());
}
