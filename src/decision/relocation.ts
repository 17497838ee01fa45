import * as verdict from '../verdict';
import * as ending from './ending';
import * as attemptFailure from './attempt-failure';
import type * as state from './state';
import type * as steps from './step';

/**
 * Load pattern: an engine that was ordered to load other weights finishes its running requests first, and a
 * few long streams keep it from serving anything for seconds. Streams that can be resumed and have not
 * ended soon after the order go on at other servers, within the retry budget.
 */
export function relocateFromLoading(step: steps.Step): void {
  const loading = step.state.servers.filter(
    (server) =>
      server.loadingSince !== undefined && step.at - server.loadingSince >= PATIENCE_MILLISECONDS,
  );
  if (loading.isEmpty()) {
    return;
  }
  [...step.state.requests.values()]
    .filter((request) => mayMove(step, request) && loading.has(request.attempts[0].serverId))
    .forEach((request) => relocate(step, request));
}

function mayMove(step: steps.Step, request: state.RequestState): boolean {
  const { idempotent, maximumAttempts = Infinity, service } = request.profile;
  return (
    request.attempts.length === 1 &&
    request.nextPiece > 0 &&
    request.attemptCount <= MAXIMUM_ATTEMPTS &&
    idempotent &&
    (request.runCount ?? 0) + 1 < maximumAttempts &&
    step.pool(service).some((server) => server.eligible && server.record.loading !== true)
  );
}

function relocate(step: steps.Step, request: state.RequestState): void {
  if (step.state.retryBudget.credit < RESERVED_CREDIT) {
    return;
  }
  const [attempt] = request.attempts;
  ending.cancel(step, request, attempt);
  attemptFailure.continueAfterFailure(step, request, attempt, RELOCATED);
}

const RELOCATED = verdict.failure(
  verdict.FailureReason.BackendLeaving,
  verdict.Verdict.MayHaveRun,
  'The backend server loads other weights.',
);

/** A stream that was refused often stays where it runs. */
const MAXIMUM_ATTEMPTS = 3;

/** Retries that are left to failures. */
const RESERVED_CREDIT = 2.5;

/** Most streams end in less; waiting longer keeps a third of a service's engines from new work. */
const PATIENCE_MILLISECONDS = 600;
