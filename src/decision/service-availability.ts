import * as verdict from '../verdict';
import * as ending from './ending';
import * as runLimit from './run-limit';
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

/** Whether the request's service is configured and has a server that may get the request. */
export function isAvailable(step: steps.Step, request: state.RequestState): boolean {
  return (
    step.state.services.has(request.profile.service) &&
    softwareVersions
      .compatibleServers(step, request)
      .some(({ eligible, record }) => eligible && runLimit.mayRunAt(request, record.id))
  );
}

/** The failure of a request that no server may get. */
export function unavailableFailure(
  step: steps.Step,
  request: state.RequestState,
): verdict.RequestFailure {
  const isServiceUp = step.pool(request.profile.service).some((server) => server.eligible);
  return request.softwareVersion !== undefined && isServiceUp ? VERSION_GONE : SERVICE_DOWN;
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
