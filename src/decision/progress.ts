import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as prefix from '../prefix';
import * as arrival from './arrival';
import * as ending from './ending';
import type * as event from './event';
import * as serverUpdates from './server-updates';
import * as serviceTiming from './service-timing';
import * as slots from './slots';
import type * as state from './state';
import type * as steps from './step';

/** Learns from the head of an answer what the server had cached. */
export function applyAnswerStart(step: steps.Step, given: event.AnswerStarted): void {
  const found = findAttempt(step, given.requestId, given.attemptId);
  if (found === undefined) {
    return;
  }
  const { request } = found;
  // The request may have been sent before the incarnation was known; a crash looks for it by incarnation.
  const attempt = { ...found.attempt, incarnation: given.incarnation };
  replaceAttempt(step, request, attempt);
  serverUpdates.observeIncarnation(step, attempt.serverId, given.incarnation);
  learnCache(step, request, attempt, given);
  const service = step.state.services.get(request.profile.service);
  if (service?.type === configuration.ServiceType.ModelEngine) {
    const uncached = Math.max(0, given.promptTokens - given.cachedTokens);
    const prefill = (uncached / service.prefillTokensPerSecond) * 1_000;
    const waited = step.at - attempt.dispatchedAt;
    const expectedMilliseconds = Math.max(
      attempt.expectedMilliseconds,
      Math.min(waited, attempt.expectedMilliseconds) + prefill,
    );
    replaceAttempt(step, request, { ...attempt, expectedMilliseconds });
  }
}

/** The first piece decides a race between attempts; later ones show the speed of the server. */
export function applyPiece(step: steps.Step, given: event.PieceReceived): void {
  const found = findAttempt(step, given.requestId, given.attemptId);
  if (found === undefined) {
    return;
  }
  const { request, attempt } = found;
  if (attempt.lastPieceAt === undefined) {
    recordFirstPiece(step, request, attempt);
    request.attempts
      .filter((other) => other !== attempt)
      .forEach((loser) => ending.cancel(step, request, loser));
  } else if (given.nextPiece > attempt.nextPiece) {
    const pieces = given.nextPiece - attempt.nextPiece;
    const gap = (step.at - attempt.lastPieceAt) / pieces;
    step.change({
      timings: health.recordPieceGap(step.state.timings, attempt.serverId, gap, step.at),
    });
  }
  const moved = {
    ...attempt,
    prefillTokens: 0,
    lastPieceAt: step.at,
    nextPiece: given.nextPiece,
  };
  step.setRequest({
    ...request,
    attempts: [moved],
    nextPiece: Math.max(request.nextPiece, given.nextPiece),
  });
}

/** Ends a request whose whole answer arrived. */
export function applyFinish(step: steps.Step, given: event.AttemptFinished): void {
  const found = findAttempt(step, given.requestId, given.attemptId);
  if (found === undefined) {
    return;
  }
  const { request, attempt } = found;
  slots.release(step, request, attempt);
  recordStretch(step, request, attempt);
  const attempts = request.attempts.filter((other) => other !== attempt);
  step.setRequest({ ...request, attempts });
  ending.remove(step, given.requestId);
  step.change({
    quarantine: health.clearSuspect(step.state.quarantine, request.profile.fingerprint),
  });
}

/** Finds a live attempt; events of attempts that lost a race or ended are ignored by all handlers. */
export function findAttempt(step: steps.Step, requestId: string, attemptId: string) {
  const request = step.state.requests.get(requestId);
  const attempt = request?.attempts.find((other) => other.attemptId === attemptId);
  return request === undefined || attempt === undefined ? undefined : { request, attempt };
}

function replaceAttempt(
  step: steps.Step,
  request: state.RequestState,
  changed: state.AttemptState,
): void {
  const attempts = request.attempts.map((attempt) =>
    attempt.attemptId === changed.attemptId ? changed : attempt,
  );
  step.setRequest({ ...request, attempts });
}

/** An answer of other weights than the chain was seeded with teaches nothing about this chain. */
function learnCache(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  given: event.AnswerStarted,
): void {
  const { service, prefixChain } = request.profile;
  const { serverId, lastSeen } = attempt;
  const document = step.state.services.get(service);
  const server = step.state.servers.get(serverId);
  if (
    document?.type !== configuration.ServiceType.ModelEngine ||
    document.weightsVersion !== given.weightsVersion ||
    server?.incarnation !== given.incarnation ||
    prefixChain.length === 0
  ) {
    return;
  }
  step.change({
    index: placement.learnAnswer(step.state.index, {
      serverId,
      incarnation: given.incarnation,
      chain: prefixChain,
      cachedPieces: Math.floor(given.cachedTokens / prefix.TOKENS_PER_BLOCK),
      lastSeen,
      at: step.at,
    }),
  });
}

function recordFirstPiece(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
): void {
  slots.endPrefill(step, attempt);
  const elapsed = step.at - attempt.dispatchedAt;
  const ratio =
    (elapsed + EXPECTED_BASE_MILLISECONDS) /
    (attempt.expectedMilliseconds + EXPECTED_BASE_MILLISECONDS);
  step.change({
    timings: health.recordFirstPiece(step.state.timings, attempt.serverId, ratio, step.at),
  });
  serviceTiming.change(step, request.profile.service, (timing) => ({
    ...timing,
    firstPieceMilliseconds:
      timing.firstPieceMilliseconds + GAIN * (elapsed - timing.firstPieceMilliseconds),
  }));
}

function recordStretch(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
): void {
  const { profile } = request;
  const cost = arrival.costOf(step.state.services.get(profile.service), profile);
  const stretch = (step.at - attempt.dispatchedAt) / Math.max(1, cost);
  serviceTiming.change(step, profile.service, (timing) => ({
    ...timing,
    stretch: timing.stretch + GAIN * (stretch - timing.stretch),
  }));
}

/** Smooths over about 20 requests. */
const GAIN = 0.1;
/** The unknown work of other daemons delays a first piece by about this; less is not a sign of a straggler. */
const EXPECTED_BASE_MILLISECONDS = 500;
