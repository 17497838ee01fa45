import * as admission from '../admission';
import * as runLimit from './run-limit';
import type * as state from './state';
import type * as steps from './step';

/**
 * Whether the limit of retries allows one for this request now. A started stream may use the whole limit, because its caller
 * has already received a part of it.
 */
export function isAllowed(step: steps.Step, { nextPiece, profile }: state.RequestState): boolean {
  const left = admission.retriesLeft(step.retryBudget(profile.service), step.at);
  const reserved = nextPiece > 0 ? 0 : reservedForStreams(step, profile.service);
  return left >= 1 + reserved;
}

/** Counts a retry of this request, which may then be sent. Call it only when `isAllowed` returns true. */
export function count(step: steps.Step, request: state.RequestState): state.RequestState {
  const { service } = request.profile;
  step.setRetryBudget(service, admission.countRetry(step.retryBudget(service), step.at));
  return { ...request, retryCountedAt: step.at };
}

/**
 * Counts a retry that has waited for a server at the time at which it is sent, as servers count it in the window in which it
 * arrives. Returns false if that window has no retry left; the request then has none any more.
 */
export function countAgain(step: steps.Step, request: state.RequestState): boolean {
  const { retryCountedAt, profile } = request;
  if (retryCountedAt === undefined || retryCountedAt === step.at) {
    return true;
  }
  const returned = admission.returnRetry(step.retryBudget(profile.service), retryCountedAt);
  const isAllowedNow = admission.retriesLeft(returned, step.at) >= 1;
  const budget = isAllowedNow ? admission.countRetry(returned, step.at) : returned;
  step.setRetryBudget(profile.service, budget);
  return isAllowedNow;
}

/** One retry for each started stream, within fractions of the limit. */
function reservedForStreams(step: steps.Step, service: string): number {
  const limit = admission.retryLimit(step.retryBudget(service), step.at);
  const most = Math.max(1, limit * MAXIMUM_RESERVED_FRACTION);
  return Math.max(
    limit * MINIMUM_RESERVED_FRACTION,
    Math.min(most, resumableStreams(step, service)),
  );
}

function resumableStreams(step: steps.Step, service: string): number {
  const { requests } = step.state;
  return step.memoize(`resumable/${service}`, [requests], () =>
    requests.count(
      (request) =>
        request.profile.service === service &&
        request.nextPiece > 0 &&
        request.profile.idempotent &&
        runLimit.mayRunElsewhere(request),
    ),
  );
}

/** Left to streams that start later. */
const MINIMUM_RESERVED_FRACTION = 0.25;

/** Few of many streams lose their runs at the same time. */
const MAXIMUM_RESERVED_FRACTION = 0.5;
