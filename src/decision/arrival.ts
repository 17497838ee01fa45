import * as admission from '../admission';
import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import * as serverSelection from './server-selection';
import * as ending from './ending';
import type * as event from './event';
import type * as state from './state';
import * as serviceAvailability from './service-availability';
import * as standardChecks from './standard-checks';
import type * as steps from './step';

/** Queues a new request, or refuses it when a check finds that it must not or cannot be served. */
export function applyArrival(step: steps.Step, given: event.RequestArrived): void {
  const { profile } = given;
  if (step.state.requests.has(profile.requestId)) {
    return;
  }
  earnBudgets(step);
  const request = newRequest(step, profile);
  const target = serverSelection.findTarget(step, request);
  const refusal = arrivalCheck.firstRefusal(standardChecks.STANDARD_CHECKS, step, request, target);
  if (refusal !== undefined) {
    ending.fail(step, request, refusal);
    return;
  }
  recordHeat(step, request);
  enqueue(step, request, target);
}

/**
 * Puts a request into the queue of its service. A request that was dispatched before goes to the front.
 * One whose fingerprint may not run at present is parked until it may.
 *
 * @param target the server that the request probably waits for, if it was found a moment ago
 */
export function enqueue(
  step: steps.Step,
  request: state.RequestState,
  target = serverSelection.findTarget(step, request),
): void {
  const { profile } = request;
  const standing = health.quarantineStatus(step.state.quarantine, profile.fingerprint, step.at);
  if (standing === health.QuarantineStatus.Refused) {
    ending.fail(step, request, health.quarantineFailure());
    return;
  }
  if (!serviceAvailability.isAvailable(step, profile.service)) {
    ending.fail(step, request, serviceAvailability.unavailableFailure());
    return;
  }
  if (standing === health.QuarantineStatus.Held) {
    park(step, request);
    return;
  }
  const entry = entryOf(step, request, target);
  const add = request.attemptCount > 0 ? admission.pushFront : admission.push;
  step.setRequest({ ...request, entry, parked: false });
  step.setQueue(profile.service, add(step.queue(profile.service), entry));
}

/** Takes a request out of the queue until its quarantine allows a dispatch. */
export function park(step: steps.Step, request: state.RequestState): void {
  step.setRequest({ ...request, entry: undefined, parked: true });
  step.change({ parked: step.state.parked.add(request.profile.requestId) });
}

/** The estimated time that a request occupies a slot, before the learned stretch. */
export function costOf(
  service: configuration.ServiceDocument | undefined,
  profile: event.RequestProfile,
): number {
  if (service?.type !== configuration.ServiceType.ModelEngine) {
    return PLAIN_CALL_MILLISECONDS;
  }
  const uncached = profile.promptTokens * UNCACHED_FRACTION;
  const prefill = uncached / service.prefillTokensPerSecond;
  const decode = profile.expectedOutputTokens / service.decodeTokensPerSecond;
  return (prefill + decode) * 1_000;
}

function newRequest(step: steps.Step, profile: event.RequestProfile): state.RequestState {
  const cost = costOf(step.state.services.get(profile.service), profile);
  return {
    profile,
    lane: admission.laneOf(profile.class, cost),
    arrivedAt: step.at,
    parked: false,
    attempts: [],
    attemptCount: 0,
    verdict: verdict.Verdict.NotRun,
    nextPiece: 0,
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
    costMilliseconds: costOf(step.state.services.get(profile.service), profile),
    share: step.state.shares.get(profile.team, 1),
    target: target?.server.record.id,
  };
}

function earnBudgets(step: steps.Step): void {
  step.change({
    retryBudget: admission.earn(step.state.retryBudget),
    hedgeBudget: admission.earn(step.state.hedgeBudget),
    probeBudget: admission.earn(step.state.probeBudget),
  });
}

/** Learns from the prompt which prefixes are shared and which of them are hot. */
function recordHeat(step: steps.Step, request: state.RequestState): void {
  const { service, prefixChain } = request.profile;
  if (prefixChain.length > 0) {
    const cost = costOf(step.state.services.get(service), request.profile);
    const pieces = prefixChain.length;
    const keys = [placement.outerPrefixDepth(pieces), placement.affinityKeyDepth(pieces)]
      .filter((depth) => depth > 0)
      .map((depth) => prefixChain[depth - 1]);
    const heat = placement.addDemand(step.state.prefixDemand, keys, cost, step.at);
    step.change({ prefixDemand: heat });
  }
}

/** Most of a prompt is cached when placement works; the learned stretch corrects the rest. */
const UNCACHED_FRACTION = 0.2;
const PLAIN_CALL_MILLISECONDS = 20;
