import * as admission from '../admission';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as slots from './slots';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';

/** Ends a request with a failure whose verdict covers all attempts, also those that still run. */
export function fail(
  step: steps.Step,
  request: state.RequestState,
  failure: verdict.RequestFailure,
): void {
  const { requestId } = request.profile;
  const running = request.attempts.length > 0 ? verdict.Verdict.MayHaveRun : verdict.Verdict.NotRun;
  const combined = [request.verdict, running].reduce(verdict.combine, failure.verdict);
  remove(step, requestId);
  step.emit({
    kind: effect.DecisionEffectKind.Fail,
    requestId,
    failure: { ...failure, verdict: combined },
    ...(request.nextPiece > 0 ? { cutStream: describeCut(step, request) } : {}),
  });
}

/** Removes a request from the state, after cancelling its running attempts. A retry that it waited to use is left to others. */
export function remove(step: steps.Step, requestId: string): void {
  const request = step.state.requests.get(requestId);
  if (request === undefined) {
    return;
  }
  request.attempts.forEach((attempt) =>
    cancel(step, request, attempt, effect.CancelReason.RequestEnded),
  );
  const { service } = request.profile;
  if (request.retryCountedAt !== undefined) {
    const budget = step.retryBudget(service);
    step.setRetryBudget(service, admission.returnRetry(budget, request.retryCountedAt));
  }
  if (request.entry !== undefined) {
    step.setQueue(service, admission.remove(step.queue(service), request.entry));
  }
  step.change({
    requests: step.state.requests.delete(requestId),
    heldRequests: step.state.heldRequests.delete(requestId),
  });
}

/** Aborts one attempt and frees its slot; the caller updates the request. */
export function cancel(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  reason: effect.CancelReason,
): void {
  slots.release(step, request, attempt);
  step.emit({
    kind: effect.DecisionEffectKind.CancelAttempt,
    requestId: request.profile.requestId,
    attemptId: attempt.attemptId,
    reason,
  });
}

function describeCut(step: steps.Step, request: state.RequestState): effect.CutStream {
  const { service } = request.profile;
  const servers = softwareVersions
    .compatibleServers(step, request)
    .filter((server) => server.eligible);
  return {
    attempts: request.attemptCount,
    runs: request.runCount ?? 0,
    retriesLeft: admission.retriesLeft(step.retryBudget(service), step.at),
    servers: servers.length,
    loadingServers: servers.filter(({ record }) => record.loading === true).length,
  };
}
