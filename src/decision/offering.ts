import * as admission from '../admission';
import * as dispatching from './dispatching';
import * as serverSelection from './server-selection';
import type * as state from './state';
import type * as steps from './step';

/** Whether a stream with one attempt may be offered now, as far as earlier offers allow. */
export function isDue(step: steps.Step, request: state.RequestState): boolean {
  const { profile, attempts, attemptCount, offeredAt = Number.NEGATIVE_INFINITY } = request;
  return (
    profile.idempotent &&
    attempts.length === 1 &&
    attemptCount <= MAXIMUM_ATTEMPTS &&
    step.at - offeredAt >= OFFER_INTERVAL_MILLISECONDS
  );
}

/** Whether retries are left that an offer may use: the stream has lost nothing yet. */
export function hasRetries(step: steps.Step, request: state.RequestState): boolean {
  const budget = step.retryBudget(request.profile.service);
  return admission.retriesLeft(budget, step.at, OFFERED_FRACTION) >= 1;
}

/** Offers a stream to the cheapest target with room, if there is one, and counts a retry. */
export function send(
  step: steps.Step,
  request: state.RequestState,
  targets: readonly state.ServerState[],
  kind: dispatching.AttemptKind.Offer | dispatching.AttemptKind.UntimedOffer,
): void {
  const { service } = request.profile;
  const choice = serverSelection.choose(step, request, targets);
  if (choice !== undefined) {
    step.setRetryBudget(service, admission.countRetry(step.retryBudget(service), step.at));
    dispatching.dispatch(step, { ...request, offeredAt: step.at }, choice, kind);
  }
}

/** A stream that had more attempts than this stays at its server; the others are left to failures. */
const MAXIMUM_ATTEMPTS = 8;

/** Load changes within this time, so that a server which had no room may have some. */
const OFFER_INTERVAL_MILLISECONDS = 300;

/** Fraction of the retries that offers may use; failures of requests that have not started may use more. */
const OFFERED_FRACTION = 0.5;
