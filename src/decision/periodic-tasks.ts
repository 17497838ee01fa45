import * as health from '../health';
import * as placement from '../placement';
import * as arrival from './arrival';
import * as crash from './crash';
import * as deadlineCheck from './deadline-check';
import * as ending from './ending';
import * as hedging from './hedging';
import * as relocation from './relocation';
import * as retries from './retries';
import * as serverPauses from './server-pauses';
import * as serviceTiming from './service-timing';
import * as silentStreams from './silent-streams';
import * as stragglers from './stragglers';
import type * as state from './state';
import type * as steps from './step';
import * as stopping from './stopping';
import * as suspicion from './suspicion';

/** Runs the tasks that become due as time passes. */
export function applyTick(step: steps.Step): void {
  expireQueued(step);
  stopping.refuseLate(step);
  releaseHeld(step);
  if (step.at - step.state.checkedAt >= CHECK_INTERVAL_MILLISECONDS) {
    step.change({ checkedAt: step.at });
    stragglers.refresh(step);
    hedging.hedgeLate(step);
    relocation.relocateFromLoading(step);
    crash.settleDoubtful(step);
    silentStreams.offerSilent(step);
    crash.failRefused(step);
  }
  if (step.at - step.state.prunedAt >= PRUNE_INTERVAL_MILLISECONDS) {
    step.applyPendingLoads();
    serverPauses.prune(step);
    step.change({
      prunedAt: step.at,
      servers: step.state.servers.map((server) => {
        const load = placement.expireMeasurement(server.load, step.at);
        return load === server.load ? server : { ...server, load };
      }),
      index: placement.pruneIndex(step.state.index, step.at),
      peerCache: placement.prunePeerCache(step.state.peerCache, step.at),
      prefixDemand: placement.pruneDemand(step.state.prefixDemand, step.at),
      quarantine: health.pruneQuarantine(step.state.quarantine, step.at),
      crashEvidence: health.pruneCrashEvidence(step.state.crashEvidence, step.at),
    });
  }
}

/** Fails waiting requests whose deadline has passed, unless their stream has started. */
function expireQueued(step: steps.Step): void {
  const waiting = step.state.queues
    .valueSeq()
    .flatMap((queue) => queue.lanes.valueSeq())
    .flatMap((teams) => teams.valueSeq())
    .flatMap((team) => team.entries)
    .map((entry) => entry.requestId);
  expireRequests(step, [...waiting, ...step.state.heldRequests]);
}

function expireRequests(step: steps.Step, requestIds: readonly string[]): void {
  requestIds.forEach((requestId) => {
    const request = step.state.requests.get(requestId);
    if (
      request !== undefined &&
      request.nextPiece === 0 &&
      step.at >= request.profile.firstTokenDeadline
    ) {
      serviceTiming.raiseWaitSafetyFactor(step, request.profile.service);
      ending.fail(step, request, deadlineCheck.deadlineFailure(step.at - request.arrivedAt));
    }
  });
}

function releaseHeld(step: steps.Step): void {
  step.state.heldRequests.forEach((requestId) => {
    const request = step.state.requests.get(requestId)!;
    if (suspicion.statusOf(step, request.profile) !== health.QuarantineStatus.Held) {
      release(step, request);
    }
  });
}

/** Retries become free as earlier ones leave the window of the limit, and with new requests. */
function release(step: steps.Step, request: state.RequestState): void {
  const needsRetry = request.retryFrom !== undefined;
  if (needsRetry && (step.at < request.retryFrom || !retries.isAllowed(step, request))) {
    return;
  }
  const { requestId } = request.profile;
  step.change({ heldRequests: step.state.heldRequests.delete(requestId) });
  const allowed = needsRetry ? retries.count(step, request) : request;
  arrival.enqueue(step, { ...allowed, retryFrom: undefined });
}

/** Stragglers and late first tokens last much longer than this interval. */
const CHECK_INTERVAL_MILLISECONDS = 100;
const PRUNE_INTERVAL_MILLISECONDS = 1_000;
