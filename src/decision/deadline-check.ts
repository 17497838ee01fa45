import * as admission from '../admission';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import type * as state from './state';
import type * as steps from './step';

/**
 * Refuses a request whose first token cannot be expected before its deadline. A refusal at arrival costs
 * the caller nothing; one after a wait in the queue has wasted that wait.
 */
export class DeadlineCheck extends arrivalCheck.ArrivalCheck {
  override refusal(
    step: steps.Step,
    request: state.RequestState,
  ): verdict.RequestFailure | undefined {
    const wait = expectedWait(step, request);
    const available = request.profile.firstTokenDeadline - step.at;
    const timing = step.state.serviceTimings.get(request.profile.service);
    const needed = wait * WAIT_SAFETY + (timing?.firstPieceMilliseconds ?? 0);
    if (available > 0 && (wait === 0 || needed <= available)) {
      return undefined;
    }
    return verdict.failure(
      verdict.FailureReason.DeadlineUnreachable,
      verdict.Verdict.NotRun,
      'The first token cannot be produced before the deadline.',
      { retryAfterMilliseconds: retryAfter(needed - available) },
    );
  }
}

/** The time after which a resend has a chance, within bounds that are useful to a caller. */
export function retryAfter(milliseconds: number): number {
  return Math.round(
    Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds),
    ),
  );
}

/** The expected time in the queue; 0 while there are free slots and nobody waits. */
function expectedWait(step: steps.Step, request: state.RequestState): number {
  const { service, team } = request.profile;
  const slots = step.state.services.get(service)?.slotsPerRunner ?? 1;
  const queue = step.queue(service);
  let own = 0;
  let free = 0;
  step.pool(service).forEach((server) => {
    own += server.load.own.requests;
    free += server.eligible ? Math.max(0, slots - placement.totalWork(server.load).requests) : 0;
  });
  if (free > 0 && admission.isEmpty(queue, request.lane)) {
    return 0;
  }
  const share = step.state.shares.get(team, 1);
  const stretch = step.state.serviceTimings.get(service)?.stretch ?? 1;
  return admission.expectedWait(queue, request.lane, team, share, own) * stretch;
}

/** The estimate of the wait has an error of about this size. */
const WAIT_SAFETY = 1.2;
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 30_000;
