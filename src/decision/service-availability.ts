import * as verdict from '../verdict';
import * as ending from './ending';
import * as retryAfter from './retry-after';
import * as runLimit from './run-limit';
import * as serverPauses from './server-pauses';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';

/** Fails waiting requests whose service has no server that may get requests. */
export function failUnavailable(step: steps.Step): void {
  const unavailable = [...step.state.requests.values()].filter(
    (request) => request.attempts.length === 0 && !isAvailable(step, request),
  );
  unavailable.forEach((request) => ending.fail(step, request, unavailableFailure(step, request)));
}

/** Whether the request's service is configured and has a server that may get the request before its deadline. */
export function isAvailable(step: steps.Step, request: state.RequestState): boolean {
  return (
    step.state.services.has(request.profile.service) &&
    softwareVersions.compatibleServers(step, request).some((server) => mayGet(request, server)) &&
    mayWaitForPause(step, request)
  );
}

/** Whether the pauses leave a server that takes the request before its deadline. Without one to wait for, other checks decide. */
function mayWaitForPause(step: steps.Step, request: state.RequestState): boolean {
  const pause = pauseMilliseconds(step, request);
  return pause === 0 || pause <= serverPauses.affordableMilliseconds(step, request);
}

/** Milliseconds until the first server takes the request; 0 unless all that may get it pause. */
export function pauseMilliseconds(step: steps.Step, request: state.RequestState): number {
  if (step.state.serverPauses.isEmpty()) {
    return 0;
  }
  const servers = softwareVersions.compatibleServers(step, request);
  // Mostly one of the first servers shows that there is no wait.
  if (servers.some((server) => mayGet(request, server) && isAwaited(step, request, server))) {
    return 0;
  }
  return serverPauses.waitMilliseconds(
    step,
    servers.filter((server) => mayGet(request, server)),
  );
}

/** A stream that has begun waits for a server that loads weights too, since its caller has no other way to go on. */
function isAwaited(
  step: steps.Step,
  { nextPiece }: state.RequestState,
  server: state.ServerState,
): boolean {
  return nextPiece > 0 ? !serverPauses.isPaused(step, server) : serverPauses.isUsable(step, server);
}

function mayGet(request: state.RequestState, { eligible, record }: state.ServerState): boolean {
  return eligible && runLimit.mayRunAt(request, record.id);
}

/** The failure of a request that no server may get. */
export function unavailableFailure(
  step: steps.Step,
  request: state.RequestState,
): verdict.RequestFailure {
  const pause = pauseMilliseconds(step, request);
  if (pause > 0) {
    return pauseFailure(pause);
  }
  const isServiceUp = step.pool(request.profile.service).some((server) => server.eligible);
  return request.softwareVersion !== undefined && isServiceUp ? VERSION_GONE : SERVICE_DOWN;
}

/** The failure of a request for which all servers pause longer than its caller can wait. */
function pauseFailure(milliseconds: number): verdict.RequestFailure {
  return verdict.failure(
    verdict.FailureReason.Overloaded,
    verdict.Verdict.NotRun,
    'All backend servers of this service have asked for a pause.',
    { retryAfterMilliseconds: retryAfter.retryAfterMilliseconds(milliseconds) },
  );
}

/** A version that has left does not come back, so that callers gain nothing by coming back soon. */
const VERSION_GONE = verdict.failure(
  verdict.FailureReason.NoBackendServer,
  verdict.Verdict.NotRun,
  'No backend server of the version that began this stream is left; begin the stream anew.',
  { retryAfterMilliseconds: 5_000 },
);

const SERVICE_DOWN = verdict.failure(
  verdict.FailureReason.NoBackendServer,
  verdict.Verdict.NotRun,
  'No backend server of this service may get work at present.',
  { retryAfterMilliseconds: 1_000 },
);
