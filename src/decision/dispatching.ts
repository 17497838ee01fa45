import * as admission from '../admission';
import * as health from '../health';
import * as placement from '../placement';
import * as cacheSources from './cache-source';
import * as serverSelection from './server-selection';
import * as arrival from './arrival';
import * as deadlineCheck from './deadline-check';
import * as effect from './effect';
import * as ending from './ending';
import * as requestLimits from './request-limits';
import * as retries from './retries';
import * as serverPauses from './server-pauses';
import * as serviceTiming from './service-timing';
import * as slots from './slots';
import type * as state from './state';
import type * as steps from './step';
import * as stopping from './stopping';
import * as suspicion from './suspicion';

/**
 * Dispatches queued requests while servers have free slots, the short lane first.
 *
 * Load pattern: many requests wait for a few busy servers. Each event would compare all of them with all servers again,
 * although nothing has changed that could let one of them go.
 */
export function dispatchQueued(step: steps.Step): void {
  if (step.state.queues.every((queue) => queue.lanes.isEmpty()) || !isPassDue(step)) {
    return;
  }
  step.state.queues.forEach((queue, service) => {
    if (!queue.lanes.isEmpty()) {
      LANES.forEach((lane) => dispatchLane(step, service, lane));
    }
  });
  step.change({ queuePass: { at: step.at, inputs: passInputs(step) } });
}

/** Whether servers, loads or queues have changed since the last pass, or enough time has passed for a request to give up waiting. */
function isPassDue(step: steps.Step): boolean {
  const { queuePass } = step.state;
  return (
    queuePass === undefined ||
    step.at - queuePass.at >= PASS_MILLISECONDS ||
    serverPauses.hasEndedSince(step, queuePass.at) ||
    passInputs(step).some((input, index) => input !== queuePass.inputs[index])
  );
}

function passInputs({ state }: steps.Step): readonly unknown[] {
  const { servers, pendingLoads, queues, services, quarantine, crashEvidence, slowdowns } = state;
  const { suspicions } = crashEvidence;
  const { requestLimits: limits, refusalLimits, serverPauses: pauses } = state;
  const restrictions = [quarantine, suspicions, slowdowns, limits, refusalLimits, pauses];
  return [servers, pendingLoads, queues, services, ...restrictions];
}

/** Why an attempt is started. */
export enum AttemptKind {
  /** The request has no other attempt. */
  Only,
  /** The first piece of another attempt is late; the first one to deliver a piece continues. */
  Hedge,
  /** Another attempt delivers pieces and goes on unless this one takes the stream over. */
  Offer,
  /** Another attempt delivers nothing at present; the first one to deliver goes on. */
  UntimedOffer,
}

/** Starts an attempt at the chosen server. */
export function dispatch(
  step: steps.Step,
  request: state.RequestState,
  choice: serverSelection.Choice,
  attemptKind: AttemptKind,
): void {
  const { requestId, prefixChain } = request.profile;
  const { incarnation } = choice.server;
  const serverId = choice.server.record.id;
  const hedge = attemptKind === AttemptKind.Hedge;
  const isUntimed = attemptKind === AttemptKind.UntimedOffer;
  const isOffer = isUntimed || attemptKind === AttemptKind.Offer;
  const offer = isOffer ? { offer: true as const } : {};
  const attempt: state.AttemptState = {
    attemptId: `${requestId}/${request.attemptCount}`,
    serverId,
    incarnation,
    softwareVersion: choice.server.record.softwareVersion,
    dispatchedAt: step.at,
    hedge,
    ...offer,
    suspect: serverSelection.isSuspect(step, request),
    expectedMilliseconds: choice.expectedMilliseconds,
    prefillTokens: Math.max(0, request.profile.promptTokens - choice.cachedTokens),
    lastCachedTimes: placement.lastCachedTimes(
      step.state.index,
      serverId,
      incarnation,
      prefixChain,
    ),
    nextPiece: request.nextPiece,
  };
  const cacheSource = cacheSources.findSource(step, request, choice);
  learnExpectedCache(step, serverId, incarnation, prefixChain);
  slots.occupy(step, request, attempt);
  requestLimits.countSent(step, serverId);
  step.setRequest({
    ...request,
    entry: undefined,
    retryCountedAt: undefined,
    attempts: [...request.attempts, attempt],
    attemptCount: request.attemptCount + 1,
  });
  step.emit({
    kind: effect.DecisionEffectKind.Dispatch,
    requestId,
    attemptId: attempt.attemptId,
    serverId,
    softwareVersion: attempt.softwareVersion,
    resumeFrom: request.nextPiece,
    hedge,
    ...offer,
    ...(isUntimed ? { untimed: true as const } : {}),
    queuedMilliseconds: step.at - request.arrivedAt,
    expectedCachedTokens: choice.cachedTokens,
    ...(cacheSource === undefined ? {} : { cacheSource }),
  });
}

function learnExpectedCache(
  step: steps.Step,
  serverId: string,
  incarnation: string | undefined,
  chain: readonly string[],
): void {
  if (incarnation !== undefined && chain.length > 0) {
    step.change({
      index: placement.learnDispatch(step.state.index, serverId, incarnation, chain, step.at),
    });
  }
}

function dispatchLane(step: steps.Step, service: string, lane: admission.Lane): void {
  let hasDispatched = true;
  while (hasDispatched) {
    hasDispatched = admission
      .nextEntries(step.queue(service), lane)
      .some((entry) => dispatchEntry(step, service, entry));
  }
}

/** Returns whether the entry left the queue. */
function dispatchEntry(step: steps.Step, service: string, entry: admission.QueueEntry): boolean {
  const request = step.state.requests.get(entry.requestId)!;
  const status = suspicion.statusOf(step, request.profile);
  if (status === health.QuarantineStatus.Refused) {
    ending.fail(step, request, suspicion.failureOf(step, request.profile));
    return true;
  }
  if (status === health.QuarantineStatus.Held) {
    step.setQueue(service, admission.remove(step.queue(service), entry));
    arrival.hold(step, request);
    return true;
  }
  if (stopping.refuseIfLate(step, request)) {
    return true;
  }
  const choice = serverSelection.choose(step, request);
  if (choice === undefined) {
    return false;
  }
  if (isTooLate(step, request, choice)) {
    serviceTiming.raiseWaitSafetyFactor(step, service);
    ending.fail(step, request, deadlineCheck.deadlineFailure(step.at - request.arrivedAt));
    return true;
  }
  if (!retries.countAgain(step, request)) {
    step.setQueue(service, admission.remove(step.queue(service), entry));
    arrival.hold(step, { ...request, retryFrom: step.at, retryCountedAt: undefined });
    return true;
  }
  serviceTiming.lowerWaitSafetyFactor(step, service);
  step.setQueue(service, admission.dequeue(step.queue(service), entry));
  dispatch(step, request, choice, AttemptKind.Only);
  return true;
}

/** A request past its deadline would delay requests that can still meet theirs. */
function isTooLate(
  step: steps.Step,
  request: state.RequestState,
  choice: serverSelection.Choice,
): boolean {
  return (
    request.attemptCount === 0 &&
    step.at > request.arrivedAt &&
    step.at + choice.expectedMilliseconds > request.profile.firstTokenDeadline
  );
}

/** Short beside the time for which a request waits for a better server. */
const PASS_MILLISECONDS = 100;

const LANES = [admission.Lane.Short, admission.Lane.Long];
