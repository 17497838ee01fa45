import * as admission from '../admission';
import * as serverSelection from './server-selection';
import * as dispatching from './dispatching';
import type * as state from './state';
import type * as steps from './step';

/** Starts a second attempt of idempotent requests whose first token is late, the latest first. */
export function hedgeLate(step: steps.Step): void {
  if (!admission.hasCredit(step.state.hedgeBudget)) {
    return;
  }
  const late = [...step.state.requests.values()]
    .filter((request) => isLate(step, request))
    .sort((left, right) => left.attempts[0].dispatchedAt - right.attempts[0].dispatchedAt);
  late.forEach((request) => hedge(step, request));
}

function isLate(step: steps.Step, request: state.RequestState): boolean {
  const [attempt] = request.attempts;
  return (
    request.attempts.length === 1 &&
    attempt.lastPieceAt === undefined &&
    request.profile.idempotent &&
    !attempt.suspect &&
    step.at - attempt.dispatchedAt > allowedMilliseconds(step, attempt)
  );
}

/** Milliseconds that a first token may take; fewer at a straggler. */
function allowedMilliseconds(step: steps.Step, attempt: state.AttemptState): number {
  return step.state.slowdowns.has(attempt.serverId)
    ? attempt.expectedMilliseconds + STRAGGLER_LATENESS_MILLISECONDS
    : attempt.expectedMilliseconds + LATENESS_MILLISECONDS;
}

function hedge(step: steps.Step, request: state.RequestState): void {
  if (!admission.hasCredit(step.state.hedgeBudget)) {
    return;
  }
  const choice = serverSelection.choose(step, request);
  if (choice === undefined || step.state.slowdowns.has(choice.server.record.id)) {
    return;
  }
  step.change({ hedgeBudget: admission.spend(step.state.hedgeBudget) });
  dispatching.dispatch(step, request, choice, dispatching.AttemptKind.Hedge);
}

const STRAGGLER_LATENESS_MILLISECONDS = 400;
/** Unreported load of other daemons delays a first token by up to this; earlier hedges exhaust the budget. */
const LATENESS_MILLISECONDS = 1_000;
