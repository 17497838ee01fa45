import * as admission from '../admission';
import * as dispatching from './dispatching';
import * as offering from './offering';
import * as rollOutOrder from './roll-out-order';
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
  const { attempts, nextPiece } = request;
  return offering.isDue(step, request) && nextPiece > 0 && attempts[0].firstPieceAt !== undefined;
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
  const budget = step.retryBudget(request.profile.service);
  const isReserveLeft = admission.retriesLeft(budget, step.at) >= 1 + RESERVED_RETRIES;
  if (isReserveLeft && offering.hasRetries(step, request)) {
    const targets = offerTargets(step, request);
    offering.send(step, request, targets, dispatching.AttemptKind.Offer);
  }
}

/** Retries that are left for failures, which end a stream, while an offer that is refused does not. */
const RESERVED_RETRIES = 2.5;

/** Most streams end sooner; a longer delay keeps a third of a service's engines from new requests. */
const RELOCATION_DELAY_MILLISECONDS = 600;
