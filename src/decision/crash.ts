import * as health from '../health';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as ending from './ending';
import type * as event from './event';
import * as attemptFailure from './attempt-failure';
import * as serverUpdates from './server-updates';
import * as silentStreams from './silent-streams';
import type * as state from './state';
import type * as steps from './step';
import * as suspicion from './suspicion';

/**
 * Drops the cache entries and timings of a crashed server, suspects the requests that were in flight there,
 * retries them at other servers, and reports the crash to the peers. A stream that has started keeps its run, unless another
 * process has been seen: a server that resets new connections, because it has too many, also looks dead to probes.
 */
export function applyCrash(step: steps.Step, crashEvent: event.ServerCrashed): void {
  const server = step.state.servers.get(crashEvent.serverId);
  if (server === undefined) {
    return;
  }
  const incarnation = crashedIncarnation(step, server);
  const crashId = health.crashIdOf(crashEvent.serverId, incarnation);
  const inFlight = attemptsAt(step, crashEvent.serverId, incarnation);
  const lostAttempts = inFlight.filter(
    ({ request, attempt }) => hasRestarted(server, attempt) || !isStarted(request, attempt),
  );
  inFlight
    .filter((found) => !lostAttempts.includes(found))
    .forEach(({ request, attempt }) => markDoubtful(step, request, attempt, true));
  const suspects = [
    ...lostAttempts.map((lost) => lost.request.profile.fingerprint),
    ...health.fingerprintsOfLostConnections(step.state.quarantine, crashId, step.at),
  ];
  const fingerprints = crashEvent.isProcessAlive === true ? [] : [...new Set(suspects)];
  const causes =
    crashEvent.isProcessAlive === true ? [] : possibleCauses(step, server.record.id, lostAttempts);
  markCrashed(step, server, incarnation);
  if (crashEvent.isDead === true) {
    markIneligible(step, crashEvent.serverId);
  }
  recordCrash(step, crashId, fingerprints);
  if (fingerprints.length > 0) {
    const kind = effect.DecisionEffectKind.ReportCrash;
    recordCauses(step, crashEvent.serverId, causes);
    step.emit({ kind, crashId, serverId: crashEvent.serverId, fingerprints, causes });
  }
  const { BackendError, ConnectionLost } = verdict.FailureReason;
  const reason = crashEvent.isProcessAlive === true ? BackendError : ConnectionLost;
  lostAttempts.forEach(({ request, attempt }) => loseAttempt(step, request, attempt, reason));
  silentStreams.offerSilent(step);
}

/** Gives up the silent streams whose server was found dead before and has restarted; keeps those of servers that live. */
export function settleDoubtful(step: steps.Step): void {
  [...step.state.requests.values()].forEach((request) =>
    request.attempts
      .filter(({ isDoubtful }) => isDoubtful === true)
      .forEach((attempt) => {
        const server = step.state.servers.get(attempt.serverId);
        if (isAlive(server, attempt)) {
          markDoubtful(step, request, attempt, undefined);
        } else if (hasRestarted(server, attempt) && !silentStreams.isDelivering(step, attempt)) {
          loseAttempt(step, request, attempt, verdict.FailureReason.ConnectionLost);
        }
      }),
  );
}

/** Fails requests that must not run, also those that wait in a server, before they crash it. */
export function failRefused(step: steps.Step): void {
  if (step.state.crashEvidence.suspicions.isEmpty()) {
    return;
  }
  [...step.state.requests.values()]
    .filter((request) => !hasBegunSafely(request))
    .filter(({ profile }) => suspicion.statusOf(step, profile) === health.QuarantineStatus.Refused)
    .forEach((request) => ending.fail(step, request, suspicion.failureOf(step, request.profile)));
}

/** Records the fingerprints that a peer had in flight at a crash. */
export function applyReport(step: steps.Step, reportEvent: event.QuarantineReported): void {
  recordCrash(step, reportEvent.crashId, reportEvent.fingerprints);
}

/** Causes of the requests that the server had not begun to answer safely, as far as this daemon sent them. */
function possibleCauses(
  step: steps.Step,
  serverId: string,
  lostAttempts: ReturnType<typeof attemptsAt>,
): readonly string[] {
  const inFlight = lostAttempts
    .filter(({ attempt }) => attempt.hasBegunSafely !== true)
    .flatMap(({ request }) => suspicion.causesOf(request.profile));
  const lost = health.lostCauses(step.state.crashEvidence, serverId, step.at);
  return [...new Set([...inFlight, ...lost])];
}

/** Whether the caller has a part of the stream, or this attempt has begun to deliver it. */
function isStarted({ nextPiece }: state.RequestState, attempt: state.AttemptState): boolean {
  return nextPiece > 0 || attempt.firstPieceAt !== undefined;
}

/** Whether the process that runs the attempt has answered a probe since. */
function isAlive(server: state.ServerState | undefined, attempt: state.AttemptState): boolean {
  return (
    server !== undefined &&
    server.eligible &&
    !server.record.suspected &&
    !hasRestarted(server, attempt)
  );
}

/** Whether another process of the server has been seen since the attempt was sent. */
function hasRestarted(
  server: state.ServerState | undefined,
  { incarnation }: state.AttemptState,
): boolean {
  return server?.incarnation !== undefined && server.incarnation !== incarnation;
}

function markDoubtful(
  step: steps.Step,
  request: state.RequestState,
  marked: state.AttemptState,
  isDoubtful: true | undefined,
): void {
  const attempts = request.attempts.map((attempt) =>
    attempt === marked ? { ...attempt, isDoubtful } : attempt,
  );
  step.setRequest({ ...request, attempts });
}

function recordCauses(step: steps.Step, serverId: string, causes: readonly string[]): void {
  const report = { serverId, at: step.at, causes };
  step.change({ crashEvidence: health.addCrash(step.state.crashEvidence, report) });
}

/**
 * The incarnation that crashed. When the next incarnation was already observed, this is the newest dead one
 * that had requests of this daemon.
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

/** Membership clears `suspected` when a probe succeeds; until then the server is the last choice. */
function markCrashed(step: steps.Step, server: state.ServerState, incarnation: string): void {
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

/** Until the next list, the requests that were lost or wait would go to the dead server, which looks idle now. */
function markIneligible(step: steps.Step, serverId: string): void {
  step.setServer({ ...step.state.servers.get(serverId)!, eligible: false });
}

/** Fails requests with a refused fingerprint at once, also those that wait in a server, before they crash it. */
function recordCrash(step: steps.Step, crashId: string, fingerprints: readonly string[]): void {
  step.change({
    quarantine: health.recordCrash(step.state.quarantine, crashId, fingerprints, step.at),
  });
  const affected = new Set(fingerprints);
  [...step.state.requests.values()]
    .filter((request) => affected.has(request.profile.fingerprint) && isRefused(step, request))
    .filter((request) => !hasBegunSafely(request))
    .forEach((request) => ending.fail(step, request, health.quarantineFailure()));
}

/** A request that crashes servers does so when its answer begins. */
function hasBegunSafely({ attempts }: state.RequestState): boolean {
  return attempts.some((attempt) => attempt.hasBegunSafely === true);
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
  const { AnswersMalformed, ServerCrashed } = effect.CancelReason;
  const isCrash = reason === verdict.FailureReason.ConnectionLost;
  ending.cancel(step, current, attempt, isCrash ? ServerCrashed : AnswersMalformed);
  attemptFailure.continueAfterFailure(
    step,
    current,
    attempt,
    verdict.failure(
      reason,
      verdict.Verdict.MayHaveRun,
      isCrash
        ? 'The server crashed while it was running the request.'
        : 'The server sends bytes that are no answer.',
      { backendServerId: attempt.serverId },
    ),
  );
}
