import * as admission from '../admission';
import * as verdict from '../verdict';
import * as effect from './effect';
import * as ending from './ending';
import * as attemptFailure from './attempt-failure';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';

/**
 * Load pattern: an engine that has an order to load other weights finishes its running requests first, and a
 * few long streams keep it out of service for seconds. Streams that can be resumed move to other servers a
 * short time after the order, within the retry budget.
 */
export function relocateFromLoading(step: steps.Step): void {
  const loading = step.state.servers.filter(
    (server) =>
      server.loadingSince !== undefined &&
      step.at - server.loadingSince >= RELOCATION_DELAY_MILLISECONDS,
  );
  if (loading.isEmpty()) {
    return;
  }
  [...step.state.requests.values()]
    .filter((request) => mayRelocate(step, request) && loading.has(request.attempts[0].serverId))
    .forEach((request) => relocate(step, request));
}

function mayRelocate(step: steps.Step, request: state.RequestState): boolean {
  const { idempotent, maximumAttempts = Infinity } = request.profile;
  return (
    request.attempts.length === 1 &&
    request.nextPiece > 0 &&
    request.attemptCount <= MAXIMUM_ATTEMPTS &&
    idempotent &&
    (request.runCount ?? 0) + 1 < maximumAttempts &&
    softwareVersions
      .compatibleServers(step, request)
      .some((server) => server.eligible && server.record.loading !== true)
  );
}

function relocate(step: steps.Step, request: state.RequestState): void {
  const { service } = request.profile;
  const reserved = RESERVED_RETRIES + REFUSALS_OF_A_MOVE * unsettledStreams(step, service);
  if (admission.retriesLeft(step.retryBudget(service), step.at) < reserved) {
    return;
  }
  const [attempt] = request.attempts;
  ending.cancel(step, request, attempt, effect.CancelReason.Relocated);
  attemptFailure.continueAfterFailure(step, request, attempt, RELOCATED);
}

/** Started streams of a service that wait for a server or for the first piece of their new one, which may refuse them. */
function unsettledStreams(step: steps.Step, service: string): number {
  const { requests } = step.state;
  return step.memoize(`unsettled/${service}`, [requests], () =>
    requests.count(
      ({ profile, nextPiece, attempts }) =>
        profile.service === service &&
        nextPiece > 0 &&
        attempts.every(({ firstPieceAt }) => firstPieceAt === undefined),
    ),
  );
}

const RELOCATED = verdict.failure(
  verdict.FailureReason.BackendLeaving,
  verdict.Verdict.MayHaveRun,
  'The backend server loads other weights.',
);

/** A stream that had more attempts than this stays at its server. */
const MAXIMUM_ATTEMPTS = 3;

/** A stream that is moved may be refused by servers that are ordered to load weights a moment later. */
const REFUSALS_OF_A_MOVE = 2;

/** Retries that are left for failures. */
const RESERVED_RETRIES = 2.5;

/** Most streams end sooner; a longer delay keeps a third of a service's engines from new requests. */
const RELOCATION_DELAY_MILLISECONDS = 600;
