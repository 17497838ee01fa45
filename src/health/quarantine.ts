import * as immutable from 'immutable';
import * as verdict from '../verdict';

/** A fingerprint that was in flight at a crash or at a lost connection that may become one. */
interface Suspect {
  /** Confirmed crashes that it was in flight at. */
  readonly crashes: immutable.Set<string>;
  /** Lost connections by the crash that would explain them, with their time. */
  readonly losses: immutable.Map<string, number>;
  readonly refused: boolean;
  readonly at: number;
}

/** What is known about requests that crash servers, by fingerprint. */
export type Quarantine = immutable.Map<string, Suspect>;

export const EMPTY_QUARANTINE: Quarantine = immutable.Map<string, Suspect>();

/** How a request with a given fingerprint may run. */
export enum QuarantineStatus {
  Clear = 'clear',
  /** It was in flight at one crash: it runs beside no other suspect, at one server at a time. */
  Suspect = 'suspect',
  /** Its connections to two servers broke, and it is not known yet whether these crashed. */
  Held = 'held',
  /** It was in flight at two crashes. */
  Refused = 'refused',
}

/**
 * The crash of one incarnation of a server; the same on every daemon, so that reports of several daemons
 * about one crash count once.
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

/** The fingerprints whose connections to the server broke shortly before the crash was noticed. */
export function fingerprintsOfLostConnections(
  quarantine: Quarantine,
  crashId: string,
  at: number,
): string[] {
  const lost = quarantine.filter(
    (suspect) => at - (suspect.losses.get(crashId) ?? -Infinity) <= LOSS_MILLISECONDS,
  );
  return [...lost.keys()];
}

/**
 * Records a crash with the fingerprints that were in flight, seen here or reported by a peer. The
 * intersection with earlier crashes is refused from now on.
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
      const refused = crashes.size >= CRASHES_BEFORE_REFUSAL;
      mutable.set(fingerprint, { ...suspect, crashes, refused, at });
    });
  });
}

/** Clears a suspect that ran to its end without a crash. A refused fingerprint stays refused. */
export function clearSuspect(quarantine: Quarantine, fingerprint: string): Quarantine {
  return quarantine.get(fingerprint)?.refused === false
    ? quarantine.delete(fingerprint)
    : quarantine;
}

/**
 * How a request may run now.
 *
 * @example
 * standing(quarantine, profile.fingerprint, at) === Standing.Refused;
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
  const open = suspect.losses.filter((lostTime) => at - lostTime <= LOSS_MILLISECONDS);
  const possible = suspect.crashes.union(open.keySeq());
  if (possible.size >= CRASHES_BEFORE_REFUSAL) {
    return QuarantineStatus.Held;
  }
  return possible.isEmpty() ? QuarantineStatus.Clear : QuarantineStatus.Suspect;
}

/** The failure of a request whose fingerprint is refused. */
export function quarantineFailure(): verdict.RequestFailure {
  return verdict.failure(
    verdict.FailureReason.Quarantined,
    verdict.Verdict.NotRun,
    'Two servers crashed while this request was running; it is not run again.',
  );
}

/** Forgets what is too old to matter. */
export function pruneQuarantine(quarantine: Quarantine, at: number): Quarantine {
  return quarantine.filter((suspect) => {
    if (suspect.refused) {
      return at - suspect.at <= REFUSED_MILLISECONDS;
    }
    const kept = suspect.crashes.isEmpty() ? LOSS_MILLISECONDS : SUSPECT_MILLISECONDS;
    return at - suspect.at <= kept;
  });
}

const NEW_SUSPECT: Suspect = {
  crashes: immutable.Set<string>(),
  losses: immutable.Map<string, number>(),
  refused: false,
  at: 0,
};

const CRASHES_BEFORE_REFUSAL = 2;
/** A probe tells within this time whether a lost connection was a crash. */
const LOSS_MILLISECONDS = 3_000;
/** Long enough for a request that is resent for a minute. */
const SUSPECT_MILLISECONDS = 120_000;
const REFUSED_MILLISECONDS = 600_000;
