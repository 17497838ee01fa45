import * as health from '../health';
import * as dispatching from './dispatching';
import * as obsoleteWeights from './obsolete-weights';
import * as offering from './offering';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';
import * as suspicion from './suspicion';

/**
 * Load pattern: an engine without room takes the memory of a stream for a more urgent one and resets new connections, those
 * of probes too, so that it looks dead. The stream goes on after some seconds, if its run was not given up. Until then it is
 * offered to other servers; the first one to deliver goes on, and a server that refuses the stream ends nothing.
 *
 * The same holds for a stream that goes on at another engine and still waits there when that one's weights become too old.
 */
export function offerSilent(step: steps.Step): void {
  [...step.state.requests.values()]
    .filter((request) => mayOffer(step, request))
    .forEach((request) => offer(step, request));
}

/** Whether a piece of the attempt has arrived lately. */
export function isDelivering(step: steps.Step, { lastPieceAt }: state.AttemptState): boolean {
  return lastPieceAt !== undefined && step.at - lastPieceAt < SILENCE_MILLISECONDS;
}

function mayOffer(step: steps.Step, request: state.RequestState): boolean {
  const { profile, attempts, nextPiece } = request;
  return (
    nextPiece > 0 &&
    offering.isDue(step, request) &&
    (isSilent(step, attempts[0]) || obsoleteWeights.waitsOnObsolete(step, request, attempts[0])) &&
    MAY_RUN.has(suspicion.statusOf(step, profile))
  );
}

function isSilent(step: steps.Step, attempt: state.AttemptState): boolean {
  return attempt.isDoubtful === true && !isDelivering(step, attempt);
}

function offer(step: steps.Step, request: state.RequestState): void {
  if (offering.hasRetries(step, request)) {
    const targets = targetsOf(step, request);
    offering.send(step, request, targets, dispatching.AttemptKind.UntimedOffer);
  }
}

/** Servers at which the stream would run at no more servers than its route allows; a run that has not begun is none. */
function targetsOf(step: steps.Step, request: state.RequestState): readonly state.ServerState[] {
  const { triedServers = [], attempts, profile } = request;
  const begun = attempts.filter(({ firstPieceAt }) => firstPieceAt !== undefined);
  const ranAt = new Set([...triedServers, ...begun.map(({ serverId }) => serverId)]);
  const mayRunElsewhere = ranAt.size < (profile.maximumAttempts ?? Infinity);
  return softwareVersions
    .compatibleServers(step, request)
    .filter(({ record }) => mayRunElsewhere || ranAt.has(record.id));
}

const MAY_RUN: ReadonlySet<health.QuarantineStatus> = new Set([
  health.QuarantineStatus.Clear,
  health.QuarantineStatus.Suspect,
]);

/** Above the usual pauses between the pieces of a stream, and below the time in which two probes fail without an answer. */
const SILENCE_MILLISECONDS = 1_000;
