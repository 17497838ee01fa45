import * as failures from './request-failure';
import * as verdicts from './verdict';

/**
 * The failure of a request that a daemon's copy of the configuration does not allow. What an old copy lacks may have been
 * added since, so that only a copy that is known to be recent tells that something does not exist.
 *
 * @example
 * const answer = refusalFromCopy(UNKNOWN_ROUTE, plane.copyAgeMilliseconds() < 2_500);
 */
export function refusalFromCopy(
  failure: failures.RequestFailure,
  isRecent: boolean,
): failures.RequestFailure {
  return isRecent ? failure : OUTDATED_COPY;
}

const OUTDATED_COPY = failures.failure(
  failures.FailureReason.ConfigurationOutdated,
  verdicts.Verdict.NotRun,
  'This router cannot tell at the moment whether the request is allowed; another one may serve it.',
  // Another router knows, and the retry of a caller goes to another one.
  { retryAfterMilliseconds: 250 },
);
