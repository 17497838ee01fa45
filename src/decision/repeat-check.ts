import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import * as retries from './retries';
import type * as state from './state';
import type * as steps from './step';

/**
 * Refuses a request that another daemon has sent to a server before, if the limit of retries does not allow a repeat. Load
 * pattern: several daemons lose their links to the servers at once, and the others get all that they had sent.
 */
export class RepeatCheck extends arrivalCheck.ArrivalCheck {
  override refusal(
    step: steps.Step,
    request: state.RequestState,
  ): verdict.RequestFailure | undefined {
    const { earlierSends = 0 } = request.profile;
    return earlierSends === 0 || retries.isAllowed(step, request) ? undefined : NO_RETRY_LEFT;
  }
}

const NO_RETRY_LEFT = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'This router has no retry left for a request that another one has sent before.',
  { retryAfterMilliseconds: 300 },
);
