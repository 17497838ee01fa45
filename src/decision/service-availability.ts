import * as verdict from '../verdict';
import * as ending from './ending';
import * as softwareVersions from './software-version';
import type * as state from './state';
import type * as steps from './step';

/** Fails waiting requests whose service has no server that may get requests. */
export function failUnavailable(step: steps.Step): void {
  const unavailable = [...step.state.requests.values()].filter(
    (request) => request.attempts.length === 0 && !isAvailable(step, request),
  );
  unavailable.forEach((request) => ending.fail(step, request, unavailableFailure()));
}

/** Whether the request's service is configured and has a server that may get the request. */
export function isAvailable(step: steps.Step, request: state.RequestState): boolean {
  return (
    step.state.services.has(request.profile.service) &&
    softwareVersions.compatibleServers(step, request).some((server) => server.eligible)
  );
}

/** The failure of a request whose service is unavailable. */
export function unavailableFailure(): verdict.RequestFailure {
  return verdict.failure(
    verdict.FailureReason.NoBackendServer,
    verdict.Verdict.NotRun,
    'No backend server of this service may get work at present.',
    { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
  );
}

const RETRY_AFTER_MILLISECONDS = 1_000;
