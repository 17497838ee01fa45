import * as admission from '../admission';
import * as dispatching from './dispatching';
import * as rollOutOrder from './roll-out-order';
import * as serverSelection from './server-selection';
import type * as state from './state';
import type * as steps from './step';

/**
 * Load pattern: an engine that has an order to load other weights finishes its running requests first, and a
 * few long streams keep it out of service for seconds. Streams that can be resumed are offered to other servers a
 * short time after the order. A stream runs on until another server delivers its next piece, because that one may
 * refuse it, and be the last one to which this daemon may send it.
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
    .forEach((request) => offer(step, request));
}

function mayRelocate(step: steps.Step, request: state.RequestState): boolean {
  const { idempotent } = request.profile;
  const { offeredAt = Number.NEGATIVE_INFINITY } = request;
  return (
    step.at - offeredAt >= OFFER_INTERVAL_MILLISECONDS &&
    request.attempts.length === 1 &&
    request.attempts[0].firstPieceAt !== undefined &&
    request.nextPiece > 0 &&
    request.attemptCount <= MAXIMUM_ATTEMPTS &&
    idempotent
  );
}

/**
 * The servers that a stream may be offered to. One that was late has read the prompt by now and is asked once more; with it
 * the stream runs at no more servers than before.
 */
function offerTargets(step: steps.Step, request: state.RequestState): readonly state.ServerState[] {
  const { triedServers = [] } = request;
  const { maximumAttempts = Infinity } = request.profile;
  const lasting = rollOutOrder.lastingServers(step, request);
  const late = lasting.filter(({ record }) => triedServers.includes(record.id));
  const lateOnce = late.filter(
    ({ record }) => triedServers.filter((id) => id === record.id).length === 1,
  );
  const untried = lasting.filter((server) => !late.includes(server));
  // The run that the stream has now counts too.
  const mayRunElsewhere = new Set(triedServers).size + 1 < maximumAttempts;
  const others = mayRunElsewhere ? untried : [];
  return lateOnce.length > 0 ? lateOnce : others;
}

function offer(step: steps.Step, request: state.RequestState): void {
  const { service } = request.profile;
  const budget = step.retryBudget(service);
  const left = admission.retriesLeft(budget, step.at, OFFERED_FRACTION);
  if (left < 1 || admission.retriesLeft(budget, step.at) < 1 + RESERVED_RETRIES) {
    return;
  }
  const choice = serverSelection.choose(step, request, offerTargets(step, request));
  if (choice !== undefined) {
    step.setRetryBudget(service, admission.countRetry(budget, step.at));
    const offered = { ...request, offeredAt: step.at };
    dispatching.dispatch(step, offered, choice, dispatching.AttemptKind.Offer);
  }
}

/** A stream that had more attempts than this stays at its server; the others are left to failures. */
const MAXIMUM_ATTEMPTS = 8;

/** Load changes within this time, so that a server which had no room may have some. */
const OFFER_INTERVAL_MILLISECONDS = 300;

/** Fraction of the retries that offers may use; failures of requests that have not started may use more. */
const OFFERED_FRACTION = 0.5;

/** Retries that are left for failures, which end a stream, while an offer that is refused does not. */
const RESERVED_RETRIES = 2.5;

/** Most streams end sooner; a longer delay keeps a third of a service's engines from new requests. */
const RELOCATION_DELAY_MILLISECONDS = 600;
