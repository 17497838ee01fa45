import * as immutable from 'immutable';
import * as verdict from '../verdict';

/** A fingerprint that was in flight at a crash, or at a connection loss that may be a crash. */
interface Suspect {
  /** Confirmed crashes that it was in flight at. */
  readonly crashes: immutable.Set<string>;
  /** Crashes after which it went on to run at another server. */
  readonly excused: immutable.Set<string>;
  /** Times of lost connections, by the identifier of the crash that may have caused them. */
  readonly losses: immutable.Map<string, number>;
  readonly refused: boolean;
  readonly at: number;
}

/** Requests that may crash servers, by fingerprint. */
export type Quarantine = immutable.Map<string, Suspect>;

export const EMPTY_QUARANTINE: Quarantine = immutable.Map<string, Suspect>();

/** How a request with a given fingerprint may run. */
export enum QuarantineStatus {
  Clear = 'clear',
  /** In flight at one crash: runs at one server at a time, and at no server with another suspect. */
  Suspect = 'suspect',
  /** Connections to two servers broke, and probes have not yet shown whether the servers crashed. */
  Held = 'held',
  /** In flight at two crashes: the request fails. */
  Refused = 'refused',
}

/**
 * The identifier of the crash of one incarnation of a server. It is the same on every daemon, so that reports
 * of several daemons about one crash count once.
 *
 * @example
 * crashIdOf('runner-0', 'incarnation-4'); // 'runner-0/incarnation-4'
 */
export function crashIdOf(serverId: string, incarnation: string): string {
  return `${serverId}/${incarnation}`;
}

/** Records that a request's connection broke after it may have run. */
export function recordConnectionLoss(
  quarantine: Quarantine,
  fingerprint: string,
  crashId: string,
  at: number,
): Quarantine {
  const suspect = quarantine.get(fingerprint, NEW_SUSPECT);
  return quarantine.set(fingerprint, { ...suspect, losses: suspect.losses.set(crashId, at), at });
}

/** The fingerprints whose connections to the server broke shortly before the crash was detected. */
export function fingerprintsOfLostConnections(
  quarantine: Quarantine,
  crashId: string,
  at: number,
): string[] {
  const matching = quarantine.filter(
    (suspect) => at - (suspect.losses.get(crashId) ?? -Infinity) <= CONNECTION_LOSS_MILLISECONDS,
  );
  return [...matching.keys()];
}

/**
 * Records a crash with the fingerprints that were in flight, at this daemon or at a peer. Fingerprints that
 * were also in flight at an earlier crash are refused from now on.
 */
export function recordCrash(
  quarantine: Quarantine,
  crashId: string,
  fingerprints: readonly string[],
  at: number,
): Quarantine {
  return quarantine.withMutations((mutable) => {
    fingerprints.forEach((fingerprint) => {
      const suspect = mutable.get(fingerprint, NEW_SUSPECT);
      const crashes = suspect.crashes.add(crashId);
      const total = crashes.union(suspect.excused).size;
      const refused =
        suspect.refused ||
        crashes.size >= CRASHES_BEFORE_REFUSAL ||
        total >= EXCUSED_CRASHES_BEFORE_REFUSAL;
      mutable.set(fingerprint, { ...suspect, crashes, refused, at });
    });
  });
}

/**
 * Excuses a suspect that has begun and goes on to run at another server: a request that crashes servers rarely gets that
 * far. Its crashes count less from now on. A refused fingerprint stays refused.
 */
export function excuseSuspect(quarantine: Quarantine, fingerprint: string): Quarantine {
  const suspect = quarantine.get(fingerprint);
  if (suspect === undefined || suspect.refused || suspect.crashes.isEmpty()) {
    return quarantine;
  }
  const excused = suspect.excused.union(suspect.crashes);
  return quarantine.set(fingerprint, { ...suspect, excused, crashes: NEW_SUSPECT.crashes });
}

/** Removes a suspect that ran to its end without a crash. A refused fingerprint stays refused. */
export function clearSuspect(quarantine: Quarantine, fingerprint: string): Quarantine {
  return quarantine.get(fingerprint)?.refused === false
    ? quarantine.delete(fingerprint)
    : quarantine;
}

/**
 * How a request with this fingerprint may run now.
 *
 * @example
 * quarantineStatus(quarantine, profile.fingerprint, at) === QuarantineStatus.Refused;
 */
export function quarantineStatus(
  quarantine: Quarantine,
  fingerprint: string,
  at: number,
): QuarantineStatus {
  const suspect = quarantine.get(fingerprint);
  if (suspect === undefined) {
    return QuarantineStatus.Clear;
  }
  if (suspect.refused) {
    return QuarantineStatus.Refused;
  }
  const recentLosses = suspect.losses.filter(
    (lostTime) => at - lostTime <= CONNECTION_LOSS_MILLISECONDS,
  );
  const unexcusedLosses = recentLosses.keySeq().filterNot((id) => suspect.excused.has(id));
  const possibleCrashes = suspect.crashes.union(unexcusedLosses);
  if (possibleCrashes.size >= CRASHES_BEFORE_REFUSAL) {
    return QuarantineStatus.Held;
  }
  return possibleCrashes.isEmpty() ? QuarantineStatus.Clear : QuarantineStatus.Suspect;
}

/** The failure of a request whose fingerprint is refused. */
export function quarantineFailure(): verdict.RequestFailure {
  return verdict.failure(
    verdict.FailureReason.Quarantined,
    verdict.Verdict.NotRun,
    'Two servers crashed while this request was running; it is not run again.',
  );
}

/** Removes expired entries. */
export function pruneQuarantine(quarantine: Quarantine, at: number): Quarantine {
  return quarantine.filter((suspect) => {
    if (suspect.refused) {
      return at - suspect.at <= REFUSED_MILLISECONDS;
    }
    const retention =
      suspect.crashes.isEmpty() && suspect.excused.isEmpty()
        ? CONNECTION_LOSS_MILLISECONDS
        : SUSPECT_MILLISECONDS;
    return at - suspect.at <= retention;
  });
}

const NEW_SUSPECT: Suspect = {
  crashes: immutable.Set<string>(),
  excused: immutable.Set<string>(),
  losses: immutable.Map<string, number>(),
  refused: false,
  at: 0,
};

const CRASHES_BEFORE_REFUSAL = 2;
/** A request may crash servers late in its run, so that it is refused at some time even if it goes on each time. */
const EXCUSED_CRASHES_BEFORE_REFUSAL = 4;
/** A probe shows within this time whether a crash caused a connection loss. */
const CONNECTION_LOSS_MILLISECONDS = 3_000;
/** Long enough for a request that a caller resends for a minute. */
const SUSPECT_MILLISECONDS = 120_000;
const REFUSED_MILLISECONDS = 600_000;
