import * as configuration from '../configuration';
import * as health from '../health';
import * as placement from '../placement';
import * as prefix from '../prefix';
import * as effect from './effect';
import * as ending from './ending';
import type * as event from './event';
import * as requestCost from './request-cost';
import * as serverUpdates from './server-updates';
import * as serviceTiming from './service-timing';
import * as slots from './slots';
import type * as state from './state';
import type * as steps from './step';
import * as suspicion from './suspicion';

/** Updates the prefix index and the expected time from the headers of an answer. */
export function applyAnswerStart(step: steps.Step, startEvent: event.AnswerStarted): void {
  const found = findAttempt(step, startEvent.requestId, startEvent.attemptId);
  if (found === undefined) {
    return;
  }
  const { request } = found;
  // Crash handling finds attempts by incarnation, which may have been unknown at the dispatch.
  const attempt = { ...found.attempt, incarnation: startEvent.incarnation };
  replaceAttempt(step, request, attempt);
  serverUpdates.observeIncarnation(step, attempt.serverId, startEvent.incarnation);
  learnCache(step, request, attempt, startEvent);
  const service = step.state.services.get(request.profile.service);
  if (service?.type === configuration.ServiceType.ModelEngine) {
    const uncached = Math.max(0, startEvent.promptTokens - startEvent.cachedTokens);
    const prefill = (uncached / service.prefillTokensPerSecond) * 1_000;
    const waited = step.at - attempt.dispatchedAt;
    const expectedMilliseconds = Math.max(
      attempt.expectedMilliseconds,
      Math.min(waited, attempt.expectedMilliseconds) + prefill,
    );
    replaceAttempt(step, request, { ...attempt, expectedMilliseconds });
  }
}

/** The first piece cancels the other attempts of the request; later pieces measure the server's speed. */
export function applyPiece(step: steps.Step, pieceEvent: event.PieceReceived): void {
  const found = findAttempt(step, pieceEvent.requestId, pieceEvent.attemptId);
  if (found === undefined) {
    return;
  }
  const { request, attempt } = found;
  const others = request.attempts.filter((other) => other !== attempt);
  const isFirst = attempt.lastPieceAt === undefined;
  if (isFirst) {
    const { AnotherAttemptDelivered, Relocated } = effect.CancelReason;
    const reason = attempt.offer === true ? Relocated : AnotherAttemptDelivered;
    recordFirstPiece(step, request, attempt);
    others.forEach((other) => ending.cancel(step, request, other, reason));
  } else if (pieceEvent.nextPiece > attempt.nextPiece) {
    const pieces = pieceEvent.nextPiece - attempt.nextPiece;
    const gap = (step.at - attempt.lastPieceAt) / pieces;
    step.change({
      timings: health.recordPieceGap(step.state.timings, attempt.serverId, gap, step.at),
    });
  }
  const firstPieceAt = attempt.firstPieceAt ?? step.at;
  const hasBegunSafely = step.at - firstPieceAt >= SAFE_BEGIN_MILLISECONDS;
  if (hasBegunSafely && attempt.hasBegunSafely !== true) {
    const { fingerprint } = request.profile;
    suspicion.recordSafeBegin(step, request.profile, firstPieceAt);
    step.change({ quarantine: health.excuseSuspect(step.state.quarantine, fingerprint) });
  }
  const advanced: state.AttemptState = {
    ...attempt,
    prefillTokens: 0,
    firstPieceAt,
    ...(hasBegunSafely ? { hasBegunSafely } : {}),
    lastPieceAt: step.at,
    nextPiece: pieceEvent.nextPiece,
  };
  // A stream that is offered to another server runs at its own one until the other delivers.
  const ended = isFirst ? others.filter(hasDelivered).map(({ serverId }) => serverId) : [];
  step.setRequest({
    ...request,
    attempts: isFirst ? [advanced] : [...others, advanced],
    runCount: (request.runCount ?? 0) + ended.length,
    triedServers: [...(request.triedServers ?? []), ...ended],
    softwareVersion: request.softwareVersion ?? attempt.softwareVersion,
    nextPiece: Math.max(request.nextPiece, pieceEvent.nextPiece),
    ...(isFirst ? { refusals: 0 } : {}),
  });
}

function hasDelivered({ firstPieceAt }: state.AttemptState): boolean {
  return firstPieceAt !== undefined;
}

/** Ends a request whose whole answer arrived. */
export function applyFinish(step: steps.Step, finishEvent: event.AttemptFinished): void {
  const found = findAttempt(step, finishEvent.requestId, finishEvent.attemptId);
  if (found === undefined) {
    return;
  }
  const { request, attempt } = found;
  slots.release(step, request, attempt);
  recordCostRatio(step, request, attempt);
  const attempts = request.attempts.filter((other) => other !== attempt);
  step.setRequest({ ...request, attempts });
  ending.remove(step, finishEvent.requestId);
  suspicion.recordSafeBegin(step, request.profile, attempt.firstPieceAt ?? attempt.dispatchedAt);
  step.change({
    quarantine: health.clearSuspect(step.state.quarantine, request.profile.fingerprint),
  });
}

/** Finds a running attempt; all handlers ignore events of cancelled and ended attempts. */
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

/** Ignores answers of other weights, because the weights version is a seed of the chain's hashes. */
function learnCache(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
  startEvent: event.AnswerStarted,
): void {
  const { service, prefixChain } = request.profile;
  const { serverId, lastCachedTimes } = attempt;
  const document = step.state.services.get(service);
  const server = step.state.servers.get(serverId);
  if (
    document?.type !== configuration.ServiceType.ModelEngine ||
    document.weightsVersion !== startEvent.weightsVersion ||
    server?.incarnation !== startEvent.incarnation ||
    prefixChain.length === 0
  ) {
    return;
  }
  step.change({
    index: placement.learnAnswer(step.state.index, {
      serverId,
      incarnation: startEvent.incarnation,
      chain: prefixChain,
      cachedBlocks: Math.floor(startEvent.cachedTokens / prefix.TOKENS_PER_BLOCK),
      lastCachedTimes,
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
    (elapsed + EXPECTED_OFFSET_MILLISECONDS) /
    (attempt.expectedMilliseconds + EXPECTED_OFFSET_MILLISECONDS);
  step.change({
    timings: health.recordFirstPiece(step.state.timings, attempt.serverId, ratio, step.at),
  });
  serviceTiming.change(step, request.profile.service, (timing) => ({
    ...timing,
    firstPieceMilliseconds:
      timing.firstPieceMilliseconds + GAIN * (elapsed - timing.firstPieceMilliseconds),
  }));
}

function recordCostRatio(
  step: steps.Step,
  request: state.RequestState,
  attempt: state.AttemptState,
): void {
  const { profile } = request;
  const cost = requestCost.of(step.state.services.get(profile.service), profile);
  const costRatio = (step.at - attempt.dispatchedAt) / Math.max(1, cost);
  serviceTiming.change(step, profile.service, (timing) => ({
    ...timing,
    costRatio: timing.costRatio + GAIN * (costRatio - timing.costRatio),
  }));
}

/** A request that crashes servers does so within some tens of milliseconds after its answer has begun. */
const SAFE_BEGIN_MILLISECONDS = 200;
/** Smooths over about 20 requests. */
const GAIN = 0.1;
/** Unreported load of other daemons delays a first piece by about this, also at a server of normal speed. */
const EXPECTED_OFFSET_MILLISECONDS = 500;
