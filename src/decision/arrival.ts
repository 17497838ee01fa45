import * as admission from '../admission';
import * as health from '../health';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import * as serverSelection from './server-selection';
import * as ending from './ending';
import type * as event from './event';
import * as requestCost from './request-cost';
import * as retries from './retries';
import type * as state from './state';
import * as serviceAvailability from './service-availability';
import * as standardChecks from './standard-checks';
import type * as steps from './step';
import * as suspicion from './suspicion';

/** Queues a new request, or fails it when an arrival check refuses it. */
export function applyArrival(step: steps.Step, arrivalEvent: event.RequestArrived): void {
  const { profile } = arrivalEvent;
  if (step.state.requests.has(profile.requestId)) {
    return;
  }
  if (profile.earlierSends === undefined) {
    addBudgetCredit(step, profile.service);
  }
  const request = newRequest(step, profile);
  const target = serverSelection.findTarget(step, request);
  const refusal = arrivalCheck.firstRefusal(standardChecks.STANDARD_CHECKS, step, request, target);
  if (refusal !== undefined) {
    ending.fail(step, request, refusal);
    return;
  }
  recordDemand(step, request);
  enqueue(step, isRepeat(request) ? retries.count(step, request) : request, target);
}

/** Whether the first attempt of this daemon repeats one of another daemon. */
function isRepeat({ profile }: state.RequestState): boolean {
  return (profile.earlierSends ?? 0) > 0;
}

/**
 * Adds a request to the queue of its service, at the front when it was dispatched before. A request that
 * the quarantine holds, or that waits for a retry, stays outside the queue, where it delays no other.
 *
 * @param target the server that the request probably waits for
 */
export function enqueue(
  step: steps.Step,
  request: state.RequestState,
  target = serverSelection.findTarget(step, request),
): void {
  const { profile } = request;
  step.setRequest(request);
  const status = suspicion.statusOf(step, profile);
  if (status === health.QuarantineStatus.Refused) {
    ending.fail(step, request, suspicion.failureOf(step, profile));
    return;
  }
  if (!serviceAvailability.isAvailable(step, request)) {
    ending.fail(step, request, serviceAvailability.unavailableFailure(step, request));
    return;
  }
  if (status === health.QuarantineStatus.Held || request.retryFrom !== undefined) {
    hold(step, request);
    return;
  }
  const entry = entryOf(step, request, target);
  const add = request.attemptCount > 0 ? admission.pushFront : admission.push;
  step.setRequest({ ...request, entry, held: false });
  step.setQueue(profile.service, add(step.queue(profile.service), entry));
}

/** Keeps a request outside the queue until the quarantine and the limit of retries allow a dispatch. */
export function hold(step: steps.Step, request: state.RequestState): void {
  step.setRequest({ ...request, entry: undefined, held: true });
  step.change({ heldRequests: step.state.heldRequests.add(request.profile.requestId) });
}

function newRequest(step: steps.Step, profile: event.RequestProfile): state.RequestState {
  const cost = requestCost.of(step.state.services.get(profile.service), profile);
  return {
    profile,
    lane: admission.laneOf(profile.class, cost),
    arrivedAt: step.at,
    held: false,
    attempts: [],
    attemptCount: 0,
    verdict: verdict.Verdict.NotRun,
    nextPiece: 0,
    softwareVersion: profile.softwareVersion,
    failedServers: [],
  };
}

function entryOf(
  step: steps.Step,
  request: state.RequestState,
  target: serverSelection.Target | undefined,
): admission.QueueEntry {
  const { profile, lane } = request;
  return {
    requestId: profile.requestId,
    team: profile.team,
    lane,
    priority: profile.priority,
    costMilliseconds: requestCost.of(step.state.services.get(profile.service), profile),
    share: step.state.shares.get(profile.team, 1),
    target: target?.server.record.id,
  };
}

function addBudgetCredit(step: steps.Step, service: string): void {
  step.setRetryBudget(service, admission.countRequest(step.retryBudget(service), step.at));
  step.change({
    hedgeBudget: admission.earn(step.state.hedgeBudget),
    probeBudget: admission.earn(step.state.probeBudget),
  });
}

/** Adds the estimated server time of the request to the demand for its prefixes. */
function recordDemand(step: steps.Step, request: state.RequestState): void {
  const { service, prefixChain } = request.profile;
  if (prefixChain.length > 0) {
    const cost = requestCost.of(step.state.services.get(service), request.profile);
    const blocks = prefixChain.length;
    const keys = [placement.outerPrefixDepth(blocks), placement.affinityKeyDepth(blocks)]
      .filter((depth) => depth > 0)
      .map((depth) => prefixChain[depth - 1]);
    const prefixDemand = placement.addDemand(step.state.prefixDemand, keys, cost, step.at);
    step.change({ prefixDemand });
  }
}
