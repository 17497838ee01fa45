import * as admission from '../admission';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import type * as serverSelection from './server-selection';
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
    const wait = expectedWait(step, request, target);
    const available = request.profile.firstTokenDeadline - step.at;
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
    { retryAfterMilliseconds: retryAfter(milliseconds) },
  );
}

/** Milliseconds after which a resend may succeed, within the limits below. */
function retryAfter(milliseconds: number): number {
  return Math.round(
    Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds),
    ),
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

/** The wait for a slot at any server, behind the other queued requests of this daemon. */
function queueWait(step: steps.Step, request: state.RequestState): number {
  const { service, team } = request.profile;
  const own = step.pool(service).reduce((sum, server) => sum + server.load.own.requests, 0);
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

const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
