import * as admission from '../admission';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import * as retryAfter from './retry-after';
import type * as serverSelection from './server-selection';
import * as serviceAvailability from './service-availability';
import * as serviceTiming from './service-timing';
import type * as state from './state';
import type * as steps from './step';

/**
 * Refuses a request whose first token is not expected before its deadline. A caller that is refused at the
 * arrival loses no time, while a refusal after a wait in the queue wastes that wait.
 */
export class DeadlineCheck extends arrivalCheck.ArrivalCheck {
  override refusal(
    step: steps.Step,
    request: state.RequestState,
    target: serverSelection.Target | undefined,
  ): verdict.RequestFailure | undefined {
    const pause = target === undefined ? serviceAvailability.pauseMilliseconds(step, request) : 0;
    const wait = pause > 0 ? pausedQueueWait(step, request) : expectedWait(step, request, target);
    const available = request.profile.firstTokenDeadline - step.at - pause;
    const timing = serviceTiming.of(step, request.profile.service);
    const needed = wait * timing.waitSafetyFactor + timing.firstPieceMilliseconds;
    if (available > 0 && (wait === 0 || needed <= available)) {
      return undefined;
    }
    return deadlineFailure(needed - available);
  }
}

/**
 * The failure of a request whose first token would miss the deadline.
 *
 * @param milliseconds time by which the first token would be late or, for a queued request, its wait so far
 */
export function deadlineFailure(milliseconds: number): verdict.RequestFailure {
  return verdict.failure(
    verdict.FailureReason.DeadlineUnreachable,
    verdict.Verdict.NotRun,
    'The first token cannot be produced before the deadline.',
    { retryAfterMilliseconds: retryAfter.retryAfterMilliseconds(milliseconds) },
  );
}

/** Expected milliseconds in the queue; 0 when the request can be dispatched at once. */
function expectedWait(
  step: steps.Step,
  request: state.RequestState,
  target: serverSelection.Target | undefined,
): number {
  if (target === undefined || target.ready) {
    return 0;
  }
  return Math.max(queueWait(step, request), targetWait(step, request, target.server));
}

/** The wait behind the other queued requests of this daemon once the first server takes requests again. */
function pausedQueueWait(step: steps.Step, request: state.RequestState): number {
  const slots = step.state.services.get(request.profile.service)?.slotsPerRunner ?? 1;
  return queueWait(step, request, slots);
}

/**
 * The wait for a slot at any server, behind the other queued requests of this daemon.
 *
 * @param leastSlots slots that this daemon will have even if it has no requests at the servers now
 */
function queueWait(step: steps.Step, request: state.RequestState, leastSlots = 0): number {
  const { service, team } = request.profile;
  const running = step.pool(service).reduce((sum, server) => sum + server.load.own.requests, 0);
  const own = Math.max(running, leastSlots);
  const share = step.state.shares.get(team, 1);
  const { costRatio } = serviceTiming.of(step, service);
  return admission.expectedWait(step.queue(service), request.lane, team, share, own) * costRatio;
}

/** The wait for the best server, whose slots this daemon gets in proportion to its running requests. */
function targetWait(
  step: steps.Step,
  request: state.RequestState,
  server: state.ServerState,
): number {
  const { service } = request.profile;
  const slots = step.state.services.get(service)?.slotsPerRunner ?? 1;
  const total = Math.max(1, placement.totalLoad(server.load).requests);
  const ownFraction = Math.max(1, server.load.own.requests) / total;
  const { costRatio } = serviceTiming.of(step, service);
  const backlog = admission.backlogFor(step.queue(service), server.record.id);
  return (backlog * costRatio) / (slots * ownFraction);
}
