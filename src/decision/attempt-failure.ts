import * as admission from '../admission';
import * as health from '../health';
import * as verdict from '../verdict';
import * as arrival from './arrival';
import * as effect from './effect';
import * as ending from './ending';
import type * as event from './event';
import * as progress from './progress';
import * as refusalLimits from './refusal-limits';
import * as retries from './retries';
import * as retryPauses from './retry-pause';
import * as runLimit from './run-limit';
import * as slots from './slots';
import type * as state from './state';
import type * as steps from './step';
import * as suspicion from './suspicion';

/** Retries, resumes or fails a request after one of its attempts failed. */
export function applyFailure(step: steps.Step, failureEvent: event.AttemptFailed): void {
  const found = progress.findAttempt(step, failureEvent.requestId, failureEvent.attemptId);
  if (found === undefined) {
    return;
  }
  slots.release(step, found.request, found.attempt);
  if (failureEvent.isUnsent === true && found.attempt.offer === true) {
    const { service } = found.request.profile;
    step.setRetryBudget(
      service,
      admission.returnRetry(step.retryBudget(service), found.attempt.dispatchedAt),
    );
  }
  continueAfterFailure(step, found.request, found.attempt, failureEvent.failure);
}

/** Retries, resumes or fails a request after a failed attempt whose slot is released. */
export function continueAfterFailure(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  failure: verdict.RequestFailure,
): void {
  recordConnectionLoss(step, request, attempt, failure);
  refusalLimits.recordRefusal(step, request, attempt, failure);
  const failed: state.RequestState = {
    ...request,
    attempts: request.attempts.filter((other) => other !== attempt),
    verdict: verdict.combine(request.verdict, failure.verdict),
    ...recordRun(request, attempt, failure),
    refusals: failure.verdict === verdict.Verdict.NotRun ? (request.refusals ?? 0) + 1 : 0,
    failedServers: [...request.failedServers, attempt.serverId],
  };
  step.setRequest(failed);
  if (failed.attempts.length > 0) {
    return;
  }
  const retryFrom = step.at + retryPauses.pauseOf(failed);
  if (!mayBeSentAgain(step, failed)) {
    ending.fail(step, failed, failure);
  } else if (retryFrom <= step.at && retries.isAllowed(step, failed)) {
    arrival.enqueue(step, retries.count(step, failed));
  } else if (failed.nextPiece > 0) {
    awaitRetry(step, failed, retryFrom);
  } else {
    ending.fail(step, failed, failure);
  }
}

function awaitRetry(step: steps.Step, request: state.RequestState, retryFrom: number): void {
  const { requestId, service } = request.profile;
  step.emit({
    kind: effect.DecisionEffectKind.AwaitRetry,
    requestId,
    pauseMilliseconds: retryFrom - step.at,
    retriesLeft: admission.retriesLeft(step.retryBudget(service), step.at),
  });
  arrival.enqueue(step, { ...request, retryFrom });
}

function mayBeSentAgain(step: steps.Step, request: state.RequestState): boolean {
  return (
    verdict.mayRetry(request.verdict, request.profile.idempotent) && mayRunAgain(step, request)
  );
}

/** A started stream is lost without another attempt, so that only the limit of retries bounds its refusals. */
function mayRunAgain(step: steps.Step, request: state.RequestState): boolean {
  const { attemptCount, nextPiece, profile } = request;
  return nextPiece > 0
    ? runCountOf(request) < MAXIMUM_STREAM_RUNS && runLimit.mayStreamRunAgain(step, request)
    : attemptCount < MAXIMUM_ATTEMPTS &&
        runCountOf(request) < (profile.maximumAttempts ?? MAXIMUM_ATTEMPTS);
}

function recordRun(
  request: state.RequestState,
  { serverId, offer }: state.AttemptState,
  { verdict: outcome, reason }: verdict.RequestFailure,
): Pick<state.RequestState, 'runCount' | 'triedServers' | 'lateServers'> {
  if (outcome === verdict.Verdict.NotRun) {
    return {};
  }
  const others = (request.lateServers ?? []).filter((id) => id !== serverId);
  const isLate = offer === true && reason === verdict.FailureReason.Overloaded;
  return {
    runCount: runCountOf(request) + 1,
    triedServers: [...(request.triedServers ?? []), serverId],
    lateServers: isLate ? [...others, serverId] : others,
  };
}

/** Ended attempts that may have run; attempts that certainly did not run are not counted. */
function runCountOf(request: state.RequestState): number {
  return request.runCount ?? 0;
}

/** Records a lost connection, because a probe may later show that the server crashed. */
function recordConnectionLoss(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  failure: verdict.RequestFailure,
): void {
  if (failure.verdict === verdict.Verdict.MayHaveRun && CRASH_SIGNS.has(failure.reason)) {
    const crashId = health.crashIdOf(attempt.serverId, attempt.incarnation ?? UNKNOWN_INCARNATION);
    const { fingerprint } = request.profile;
    suspicion.recordLoss(step, request, attempt);
    step.change({
      quarantine: health.recordConnectionLoss(step.state.quarantine, fingerprint, crashId, step.at),
    });
  }
}

/** Part of a crash identifier for a server whose incarnation was never observed. */
export const UNKNOWN_INCARNATION = 'unknown';

/** More attempts would last beyond any useful deadline. */
const MAXIMUM_ATTEMPTS = 5;

/** A stream that breaks off this often is probably the cause itself, and takes the retries of others. */
const MAXIMUM_STREAM_RUNS = 15;

const CRASH_SIGNS: ReadonlySet<verdict.FailureReason> = new Set([
  verdict.FailureReason.ConnectionLost,
  verdict.FailureReason.StreamBroken,
]);
