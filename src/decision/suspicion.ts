import * as health from '../health';
import * as verdict from '../verdict';
import * as effect from './effect';
import type * as event from './event';
import type * as state from './state';
import type * as steps from './step';

/** What a request may crash servers by: the request itself, and each part of its prompt that others share. */
export function causesOf({
  fingerprint,
  service,
  sharedParts = [],
}: event.RequestProfile): readonly string[] {
  return [`request:${fingerprint}`, ...sharedParts.map((part) => `part:${service}/${part}`)];
}

/** How a request may run by all that is known of crashes. */
export function statusOf(step: steps.Step, profile: event.RequestProfile): health.QuarantineStatus {
  const { quarantine } = step.state;
  const status = health.quarantineStatus(quarantine, profile.fingerprint, step.at);
  const suspicion = suspicionOf(step, profile);
  if (suspicion === health.CrashSuspicion.Refused) {
    return health.QuarantineStatus.Refused;
  }
  return status === health.QuarantineStatus.Clear && suspicion === health.CrashSuspicion.Suspected
    ? health.QuarantineStatus.Suspect
    : status;
}

/** The failure of a request that must not run. */
export function failureOf(step: steps.Step, profile: event.RequestProfile): verdict.RequestFailure {
  return suspicionOf(step, profile) === health.CrashSuspicion.Refused
    ? CRASHING_PART
    : health.quarantineFailure();
}

/** Records a connection that broke before the answer had begun safely, since a probe may show that the server crashed. */
export function recordLoss(
  step: steps.Step,
  { profile }: state.RequestState,
  { serverId, hasBegunSafely }: state.AttemptState,
): void {
  if (hasBegunSafely !== true) {
    const { crashEvidence } = step.state;
    const causes = causesOf(profile);
    step.change({
      crashEvidence: health.addLostRequest(crashEvidence, serverId, causes, step.at),
    });
  }
}

/** Clears the causes of a request whose answer began at the given time and went on; tells other daemons of suspected ones. */
export function recordSafeBegin(
  step: steps.Step,
  profile: event.RequestProfile,
  begunAt: number,
): void {
  const causes = causesOf(profile);
  reportSuspected(step, causes, begunAt);
  const crashEvidence = causes
    .filter((cause) => isShared(cause) || health.crashCount(step.state.crashEvidence, cause) > 0)
    .reduce(
      (evidence, cause) => health.addSafeBegin(evidence, { cause, at: begunAt }),
      step.state.crashEvidence,
    );
  step.change({ crashEvidence });
}

/** Adds what other daemons know, and reports the safe begins that they do not know of. */
export function applyEvidence(step: steps.Step, reported: event.CrashEvidenceReported): void {
  const known = step.state.crashEvidence.safeBegins;
  const cleared = reported.safeBegins.reduce(health.addSafeBegin, step.state.crashEvidence);
  step.change({ crashEvidence: reported.crashes.reduce(health.addCrash, cleared) });
  const unknown = new Map(
    reported.crashes.flatMap(({ causes, at }) =>
      causes
        .map((cause) => [cause, known.get(cause, -Infinity)] as const)
        .filter(([, begunAt]) => begunAt > at),
    ),
  );
  unknown.forEach((begunAt, cause) => emitSafeBegin(step, [cause], begunAt));
}

function reportSuspected(step: steps.Step, causes: readonly string[], begunAt: number): void {
  const { crashEvidence } = step.state;
  const suspected = causes.filter((cause) => health.crashCount(crashEvidence, cause) > 0);
  if (suspected.length > 0) {
    emitSafeBegin(step, suspected, begunAt);
  }
}

function emitSafeBegin(step: steps.Step, causes: readonly string[], at: number): void {
  step.emit({ kind: effect.DecisionEffectKind.ReportSafeBegin, causes, at });
}

function suspicionOf(step: steps.Step, profile: event.RequestProfile): health.CrashSuspicion {
  const { crashEvidence } = step.state;
  return crashEvidence.suspicions.isEmpty()
    ? health.CrashSuspicion.None
    : health.suspicionOf(crashEvidence, causesOf(profile), step.at);
}

/** A request by itself is remembered only while it is suspected. */
function isShared(cause: string): boolean {
  return cause.startsWith('part:');
}

const CRASHING_PART = verdict.failure(
  verdict.FailureReason.Quarantined,
  verdict.Verdict.NotRun,
  'Several servers crashed when they began to answer requests with a part of this one; it is not run.',
);
