import * as verdict from '../verdict';
import * as ending from './ending';
import type * as event from './event';
import * as requestCost from './request-cost';
import type * as state from './state';
import type * as steps from './step';

/** Refuses what waits here and cannot end before the daemon stops, while another daemon can still serve it. */
export function applyAnnouncement(step: steps.Step, { stopsAt }: event.StopAnnounced): void {
  step.change({ stopsAt });
  refuseLate(step);
}

/** Fails every request. Waiting ones end first, so that none of them gets the slot of one that ran. */
export function applyStop(step: steps.Step, { failure }: event.Stopped): void {
  const requests = [...step.state.requests.values()];
  const waiting = requests.filter(({ attempts }) => attempts.length === 0);
  const running = requests.filter(({ attempts }) => attempts.length > 0);
  [...waiting, ...running].forEach((request) => ending.fail(step, request, failure));
}

/** Refuses the waiting requests that can no longer end before the daemon stops. */
export function refuseLate(step: steps.Step): void {
  if (step.state.stopsAt !== undefined) {
    [...step.state.requests.values()].forEach((request) => refuseIfLate(step, request));
  }
}

/** Refuses a request that no server has begun to run, if it would not end in time; returns whether it did. */
export function refuseIfLate(step: steps.Step, request: state.RequestState): boolean {
  const hasBegun =
    request.attempts.length > 0 ||
    request.nextPiece > 0 ||
    request.verdict !== verdict.Verdict.NotRun;
  if (hasBegun || endsInTime(step.state, request.profile, step.at)) {
    return false;
  }
  ending.fail(step, request, STOPS_BEFORE_END);
  return true;
}

/**
 * Whether a request that begins now ends before the daemon stops. Of a request that may run once only, the caller's deadline is
 * the sole bound: if it is cut, nobody may send it again.
 *
 * @param at monotonic milliseconds
 *
 * @example
 * endsInTime(initialState(options), profile, 0); // true: the daemon does not stop
 */
export function endsInTime(
  { stopsAt, services, serviceTimings }: state.DecisionState,
  profile: event.RequestProfile,
  at: number,
): boolean {
  const { answerDeadline = Number.POSITIVE_INFINITY, service } = profile;
  if (stopsAt === undefined || answerDeadline <= stopsAt) {
    return true;
  }
  const costRatio = serviceTimings.get(service)?.costRatio ?? 1;
  const expected = requestCost.of(services.get(service), profile) * costRatio;
  return profile.idempotent && at + expected * DURATION_MARGIN <= stopsAt;
}

/** The failure of a request that the daemon does not begin any more; every other daemon is better for it at once. */
export const STOPS_BEFORE_END = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'This router stops before the request would end; send the request again.',
  { retryAfterMilliseconds: 20 },
);

/** Answers of twice the mean length are common. */
const DURATION_MARGIN = 2;
