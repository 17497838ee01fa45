import * as immutable from 'immutable';

/** A crash of a server with what the requests that it had not begun to answer safely may have caused it by. */
export interface CrashReport {
  readonly serverId: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Possible causes: prompt parts and whole requests. */
  readonly causes: readonly string[];
}

/** An answer to a request with this cause began at the given time and went on. */
export interface SafeBegin {
  readonly cause: string;
  readonly at: number;
}

interface ServerCrash {
  readonly serverId: string;
  readonly at: number;
}

interface LostRequest {
  readonly causes: readonly string[];
  readonly at: number;
}

/**
 * Which prompt parts, or which requests, crash the servers that begin to answer them. A part of a prompt may do so in
 * requests that are otherwise different, so that the causes are counted over requests and daemons. Most parts in flight at
 * a crash are innocent: an answer that begins after it and goes on clears all its parts.
 */
export interface CrashEvidence {
  readonly crashes: immutable.Map<string, ServerCrash>;
  /** Crashes of each cause since an answer with it last began safely. */
  readonly suspicions: immutable.Map<string, immutable.Set<string>>;
  /** When an answer with this cause last began safely. */
  readonly safeBegins: immutable.Map<string, number>;
  /** Requests whose connections broke before their answers had begun safely, by server; it may have crashed. */
  readonly lostRequests: immutable.Map<string, readonly LostRequest[]>;
}

export const EMPTY_CRASH_EVIDENCE: CrashEvidence = {
  crashes: immutable.Map<string, ServerCrash>(),
  suspicions: immutable.Map<string, immutable.Set<string>>(),
  safeBegins: immutable.Map<string, number>(),
  lostRequests: immutable.Map<string, readonly LostRequest[]>(),
};

/** How a request may run, by the evidence against its causes. */
export enum CrashSuspicion {
  None = 'none',
  /** One of the causes was in flight at several crashes. */
  Suspected = 'suspected',
  /** One of the causes has crashed servers, as far as the evidence shows; the request must not run. */
  Refused = 'refused',
}

/** Records that a connection broke before the answer had begun safely. */
export function addLostRequest(
  evidence: CrashEvidence,
  serverId: string,
  causes: readonly string[],
  at: number,
): CrashEvidence {
  const lost = evidence.lostRequests.get(serverId, []);
  const lostRequests = evidence.lostRequests.set(serverId, [...lost, { causes, at }]);
  return { ...evidence, lostRequests };
}

/** Causes of the requests whose connections to the server broke shortly before its crash was detected. */
export function lostCauses(evidence: CrashEvidence, serverId: string, at: number): string[] {
  return evidence.lostRequests
    .get(serverId, [])
    .filter((lost) => at - lost.at <= DETECTION_MILLISECONDS)
    .flatMap(({ causes }) => causes);
}

/**
 * Adds a crash. Daemons detect the same crash at different times, so that reports on one server within a short time are
 * about one crash. Causes that have begun safely since do not count.
 *
 * @example
 * addCrash(evidence, { serverId: 'runner-0', at: 5_000, causes: ['part:desk/5c1e07a2'] });
 */
export function addCrash(evidence: CrashEvidence, report: CrashReport): CrashEvidence {
  const { serverId, at, causes } = report;
  const known = evidence.crashes.findEntry(
    (crash) => crash.serverId === serverId && Math.abs(crash.at - at) <= DETECTION_MILLISECONDS,
  );
  const [crashId, crash] = known ?? [`${serverId}@${Math.round(at)}`, { serverId, at }];
  const suspicions = evidence.suspicions.withMutations((mutable) => {
    causes
      .filter((cause) => evidence.safeBegins.get(cause, -Infinity) < crash.at)
      .forEach((cause) => mutable.update(cause, NO_CRASHES, (crashes) => crashes.add(crashId)));
  });
  return { ...evidence, crashes: evidence.crashes.set(crashId, crash), suspicions };
}

/** Records that an answer with this cause began at the given time and went on: earlier crashes were not its fault. */
export function addSafeBegin(evidence: CrashEvidence, { cause, at }: SafeBegin): CrashEvidence {
  if (at <= evidence.safeBegins.get(cause, -Infinity)) {
    return evidence;
  }
  const safeBegins = evidence.safeBegins.set(cause, at);
  const crashes = evidence.suspicions.get(cause);
  if (crashes === undefined) {
    return { ...evidence, safeBegins };
  }
  const later = crashes.filter((crashId) => evidence.crashes.get(crashId, NO_CRASH).at > at);
  const suspicions = later.isEmpty()
    ? evidence.suspicions.delete(cause)
    : evidence.suspicions.set(cause, later);
  return { ...evidence, safeBegins, suspicions };
}

/**
 * How a request with these causes may run now. It is refused for a cause that was in flight at several crashes, once other
 * daemons have had time to report a safe begin, unless another cause explains more crashes. Between causes that explain the
 * same crashes the evidence does not decide; a request that has only some of them may run and so decides.
 *
 * @example
 * suspicionOf(evidence, ['part:desk/5c1e07a2'], at) === CrashSuspicion.Refused;
 */
export function suspicionOf(
  evidence: CrashEvidence,
  causes: readonly string[],
  at: number,
): CrashSuspicion {
  const suspected = causes.filter((cause) => crashCount(evidence, cause) >= SUSPECTED_CRASHES);
  if (suspected.length === 0) {
    return CrashSuspicion.None;
  }
  return suspected.some((cause) => isRefusedCause(evidence, cause, causes, at))
    ? CrashSuspicion.Refused
    : CrashSuspicion.Suspected;
}

function isRefusedCause(
  evidence: CrashEvidence,
  cause: string,
  causes: readonly string[],
  at: number,
): boolean {
  const crashes = evidence.suspicions.get(cause, NO_CRASHES);
  const settled = crashes.filter(
    (crashId) => at - evidence.crashes.get(crashId, NO_CRASH).at >= REPORT_MILLISECONDS,
  );
  return (
    settled.size >= CRASHES_BEFORE_CAUSE_REFUSAL &&
    evidence.suspicions.every(
      (others, other) =>
        other === cause ||
        !crashes.isSubset(others) ||
        (others.size === crashes.size && causes.includes(other)),
    )
  );
}

/** Crashes since an answer with this cause last began safely. */
export function crashCount(evidence: CrashEvidence, cause: string): number {
  return evidence.suspicions.get(cause, NO_CRASHES).size;
}

/** The crashes with those causes that were in flight at several of them, the evidence that is worth telling others. */
export function suspectedCrashes(evidence: CrashEvidence): readonly CrashReport[] {
  const causesByCrash = new Map<string, string[]>();
  evidence.suspicions
    .filter((crashes) => crashes.size >= SUSPECTED_CRASHES)
    .toSeq()
    .sortBy((crashes) => -crashes.size)
    .take(MAXIMUM_TOLD_CAUSES)
    .forEach((crashes, cause) => {
      crashes.forEach((crashId) => {
        causesByCrash.set(crashId, [...(causesByCrash.get(crashId) ?? []), cause]);
      });
    });
  return [...causesByCrash].map(([crashId, causes]) => ({
    ...evidence.crashes.get(crashId, NO_CRASH),
    causes,
  }));
}

/** The safe begins that the reporting daemon did not know of when it counted these crashes. */
export function disproved(
  evidence: CrashEvidence,
  reports: readonly CrashReport[],
): readonly SafeBegin[] {
  const begun = new Map<string, number>();
  reports.forEach(({ causes, at }) => {
    causes
      .filter((cause) => evidence.safeBegins.get(cause, -Infinity) > at)
      .forEach((cause) => begun.set(cause, evidence.safeBegins.get(cause, at)));
  });
  return [...begun].map(([cause, at]) => ({ cause, at }));
}

/** Removes expired entries. */
export function pruneCrashEvidence(evidence: CrashEvidence, at: number): CrashEvidence {
  if (isEmpty(evidence)) {
    return evidence;
  }
  const crashes = evidence.crashes.filter((crash) => at - crash.at <= EVIDENCE_MILLISECONDS);
  const suspicions = evidence.suspicions
    .map((crashIds) => crashIds.filter((crashId) => isKept(crashes.get(crashId), crashIds, at)))
    .filterNot((crashIds) => crashIds.isEmpty());
  const safeBegins = evidence.safeBegins.filter(
    (begunAt) => at - begunAt <= SAFE_BEGIN_MILLISECONDS,
  );
  const lostRequests = evidence.lostRequests
    .map((lost) => lost.filter((one) => at - one.at <= DETECTION_MILLISECONDS))
    .filterNot((lost) => lost.length === 0);
  return { crashes, suspicions, safeBegins, lostRequests };
}

function isEmpty({ crashes, safeBegins, lostRequests }: CrashEvidence): boolean {
  return crashes.isEmpty() && safeBegins.isEmpty() && lostRequests.isEmpty();
}

function isKept(
  crash: ServerCrash | undefined,
  crashIds: immutable.Set<string>,
  at: number,
): boolean {
  const isSingle = crashIds.size < SUSPECTED_CRASHES;
  return crash !== undefined && (!isSingle || at - crash.at <= SINGLE_MILLISECONDS);
}

const NO_CRASHES = immutable.Set<string>();

const NO_CRASH: ServerCrash = { serverId: '', at: Number.NEGATIVE_INFINITY };

const SUSPECTED_CRASHES = 2;
/** Chance alone rarely puts one cause in flight at three crashes without a safe begin in between. */
const CRASHES_BEFORE_CAUSE_REFUSAL = 3;
/** The reports of safe begins by other daemons, also those of other regions, have arrived by this time. */
const REPORT_MILLISECONDS = 1_000;
/** Probes of all daemons have detected a crash by this time, and the server is not yet back. */
const DETECTION_MILLISECONDS = 2_500;
const SINGLE_MILLISECONDS = 60_000;
/** Daemons report a crash again for some seconds, and hear then of what began safely since. */
const SAFE_BEGIN_MILLISECONDS = 15_000;
/** Callers that are refused for so long have stopped to send the request again. */
const EVIDENCE_MILLISECONDS = 600_000;
const MAXIMUM_TOLD_CAUSES = 64;
