import * as verdict from '../verdict';
import * as effect from './effect';
import * as ending from './ending';
import * as attemptFailure from './attempt-failure';
import * as obsoleteWeights from './obsolete-weights';
import * as silentStreams from './silent-streams';
import type * as state from './state';
import type * as steps from './step';

/**
 * Cancels streams that have not started when the weights of their engine become too old.
 *
 * Load pattern: a request is sent while the weights are recent enough, waits in the engine for memory or
 * behind long prompts, and starts after the weights became too old. A cancelled request that may run again
 * goes to another engine, within the retry budget.
 *
 * The only attempt of a stream whose caller has a part of it is not cancelled, since no other engine may take the stream. It
 * is offered to others.
 */
export function cancelObsoleteAttempts(step: steps.Step): void {
  [...step.state.requests.values()].forEach((request) => cancelObsolete(step, request));
  silentStreams.offerSilent(step);
}

function cancelObsolete(step: steps.Step, request: state.RequestState): void {
  request.attempts
    .filter((attempt) => obsoleteWeights.waitsOnObsolete(step, request, attempt))
    .forEach((attempt) => {
      const current = step.state.requests.get(request.profile.requestId);
      if (current !== undefined && (current.nextPiece === 0 || current.attempts.length > 1)) {
        ending.cancel(step, current, attempt, effect.CancelReason.WeightsTooOld);
        attemptFailure.continueAfterFailure(step, current, attempt, WEIGHTS_TOO_OLD);
      }
    });
}

const WEIGHTS_TOO_OLD = verdict.failure(
  verdict.FailureReason.BackendLeaving,
  verdict.Verdict.MayHaveRun,
  'The request had not begun when the weights of the backend server became too old.',
);
