import * as admission from '../admission';
import * as health from '../health';
import * as verdict from '../verdict';
import * as arrival from './arrival';
import * as ending from './ending';
import type * as event from './event';
import * as progress from './progress';
import * as slots from './slots';
import type * as state from './state';
import type * as steps from './step';

/** Retries, resumes or fails a request after one of its attempts failed. */
export function applyFailure(step: steps.Step, given: event.AttemptFailed): void {
  const found = progress.findAttempt(step, given.requestId, given.attemptId);
  if (found === undefined) {
    return;
  }
  slots.release(step, found.request, found.attempt);
  continueAfterFailure(step, found.request, found.attempt, given.failure);
}

/** Goes on after an attempt whose slot is already released. */
export function continueAfterFailure(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  failure: verdict.RequestFailure,
): void {
  recordLoss(step, request, attempt, failure);
  const failed: state.RequestState = {
    ...request,
    attempts: request.attempts.filter((other) => other !== attempt),
    verdict: verdict.combine(request.verdict, failure.verdict),
    runCount: runsOf(request) + (failure.verdict === verdict.Verdict.NotRun ? 0 : 1),
    failedServers: [...request.failedServers, attempt.serverId],
  };
  step.setRequest(failed);
  if (failed.attempts.length > 0) {
    return;
  }
  if (mayRetry(step, failed)) {
    step.change({ retryBudget: admission.spend(step.state.retryBudget) });
    arrival.enqueue(step, failed);
  } else {
    ending.fail(step, failed, failure);
  }
}

function mayRetry(step: steps.Step, request: state.RequestState): boolean {
  return (
    verdict.mayRetry(request.verdict, request.profile.idempotent) &&
    request.attemptCount < attemptLimit(request) &&
    runsOf(request) < (request.profile.maximumAttempts ?? MAXIMUM_ATTEMPTS) &&
    isPayable(step, request)
  );
}

/** Refusals cost little, and a stream that has begun can only be lost or go on. */
function attemptLimit({ nextPiece }: state.RequestState): number {
  return nextPiece > 0 ? MAXIMUM_STREAM_ATTEMPTS : MAXIMUM_ATTEMPTS;
}

/** A stream that its caller has begun to read may overdraw the budget, since a refusal would come too late. */
function isPayable(step: steps.Step, { nextPiece }: state.RequestState): boolean {
  const { retryBudget } = step.state;
  return (
    admission.hasCredit(retryBudget) || (nextPiece > 0 && retryBudget.credit > -OVERDRAFT_RETRIES)
  );
}

/** Attempts that may have run; one that the server surely did not run counts for nothing. */
function runsOf(request: state.RequestState): number {
  return request.runCount ?? 0;
}

/** A broken connection may be the first sign of a crash that a probe confirms later. */
function recordLoss(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  failure: verdict.RequestFailure,
): void {
  if (failure.verdict === verdict.Verdict.MayHaveRun && CRASH_SIGNS.has(failure.reason)) {
    const crashId = health.crashIdOf(attempt.serverId, attempt.incarnation ?? UNKNOWN_INCARNATION);
    const { fingerprint } = request.profile;
    step.change({
      quarantine: health.recordConnectionLoss(step.state.quarantine, fingerprint, crashId, step.at),
    });
  }
}

/** Stands in a crash identifier for an incarnation that was never learned. */
export const UNKNOWN_INCARNATION = 'unknown';

const OVERDRAFT_RETRIES = 8;

/** More attempts would keep a broken request alive beyond any useful deadline. */
const MAXIMUM_ATTEMPTS = 5;
/** Servers that are ordered to load weights refuse one after the other. */
const MAXIMUM_STREAM_ATTEMPTS = 15;
const CRASH_SIGNS: ReadonlySet<verdict.FailureReason> = new Set([
  verdict.FailureReason.ConnectionLost,
  verdict.FailureReason.StreamBroken,
]);
