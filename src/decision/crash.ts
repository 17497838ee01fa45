import * as health from '../health';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as ending from './ending';
import type * as event from './event';
import * as attemptFailure from './attempt-failure';
import * as serverUpdates from './server-updates';
import type * as state from './state';
import type * as steps from './step';

/**
 * A server crashed: its cache is gone, what was in flight on it is suspected and resumed elsewhere, and
 * the peers are told.
 */
export function applyCrash(step: steps.Step, given: event.ServerCrashed): void {
  const server = step.state.servers.get(given.serverId);
  if (server === undefined) {
    return;
  }
  const incarnation = crashedIncarnation(step, server);
  const crashId = health.crashIdOf(given.serverId, incarnation);
  const victims = attemptsAt(step, given.serverId, incarnation);
  const suspects = [
    ...victims.map((victim) => victim.request.profile.fingerprint),
    ...health.fingerprintsOfLostConnections(step.state.quarantine, crashId, step.at),
  ];
  const fingerprints = given.isProcessAlive === true ? [] : [...new Set(suspects)];
  markDead(step, server, incarnation);
  recordCrash(step, crashId, fingerprints);
  if (fingerprints.length > 0) {
    const kind = effect.DecisionEffectKind.ReportCrash;
    step.emit({ kind, crashId, serverId: given.serverId, fingerprints });
  }
  const { BackendError, ConnectionLost } = verdict.FailureReason;
  const reason = given.isProcessAlive === true ? BackendError : ConnectionLost;
  victims.forEach(({ request, attempt }) => loseAttempt(step, request, attempt, reason));
}

/** Takes over what a peer saw at a crash. */
export function applyReport(step: steps.Step, given: event.QuarantineReported): void {
  recordCrash(step, given.crashId, given.fingerprints);
}

/**
 * The incarnation that died. The new one may have been seen already; then the newest of the dead ones
 * that had work of this daemon is meant.
 */
function crashedIncarnation(step: steps.Step, server: state.ServerState): string {
  const previous = server.deadIncarnations.findLast((incarnation) => {
    const crashId = health.crashIdOf(server.record.id, incarnation);
    return (
      attemptsAt(step, server.record.id, incarnation).length > 0 ||
      health.fingerprintsOfLostConnections(step.state.quarantine, crashId, step.at).length > 0
    );
  });
  return previous ?? server.incarnation ?? attemptFailure.UNKNOWN_INCARNATION;
}

function attemptsAt(step: steps.Step, serverId: string, incarnation: string) {
  return [...step.state.requests.values()].flatMap((request) =>
    request.attempts
      .filter(
        (attempt) =>
          attempt.serverId === serverId &&
          (attempt.incarnation ?? attemptFailure.UNKNOWN_INCARNATION) === incarnation,
      )
      .map((attempt) => ({ request, attempt })),
  );
}

/** Until membership has probed the server again, it is used only when no other is left. */
function markDead(step: steps.Step, server: state.ServerState, incarnation: string): void {
  if (server.incarnation === incarnation || server.incarnation === undefined) {
    step.setServer({
      ...server,
      record: { ...server.record, suspected: true },
      incarnation: undefined,
      deadIncarnations: serverUpdates.addDeadIncarnation(server.deadIncarnations, incarnation),
    });
    step.change({
      index: placement.forgetServer(step.state.index, server.record.id),
      timings: health.forgetTimings(step.state.timings, server.record.id),
    });
  }
}

/** Requests with a refused fingerprint end at once, running ones too, before they crash another server. */
function recordCrash(step: steps.Step, crashId: string, fingerprints: readonly string[]): void {
  step.change({
    quarantine: health.recordCrash(step.state.quarantine, crashId, fingerprints, step.at),
  });
  const affected = new Set(fingerprints);
  [...step.state.requests.values()]
    .filter((request) => affected.has(request.profile.fingerprint) && isRefused(step, request))
    .forEach((request) => ending.fail(step, request, health.quarantineFailure()));
}

function isRefused(step: steps.Step, request: state.RequestState): boolean {
  const { fingerprint } = request.profile;
  return (
    health.quarantineStatus(step.state.quarantine, fingerprint, step.at) ===
    health.QuarantineStatus.Refused
  );
}

function loseAttempt(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  reason: verdict.FailureReason,
): void {
  const current = step.state.requests.get(request.profile.requestId);
  if (current === undefined || !current.attempts.includes(attempt)) {
    return;
  }
  ending.cancel(step, current, attempt);
  attemptFailure.continueAfterFailure(
    step,
    current,
    attempt,
    verdict.failure(
      reason,
      verdict.Verdict.MayHaveRun,
      reason === verdict.FailureReason.ConnectionLost
        ? 'The server crashed while it was running the request.'
        : 'The server sends bytes that are no answer.',
      { backendServerId: attempt.serverId },
    ),
  );
}
