import * as verdict from '../verdict';

const { FailureReason, Verdict } = verdict;

export const NO_TABLE = verdict.failure(
  FailureReason.ShuttingDown,
  Verdict.NotRun,
  'This router has no routing table yet; send the request again.',
  { retryAfterMilliseconds: 500 },
);

export const UNKNOWN_ROUTE = verdict.failure(
  FailureReason.UnknownRoute,
  Verdict.NotRun,
  'No route takes this host and path.',
);

export const UNAUTHORIZED = verdict.failure(
  FailureReason.Unauthorized,
  Verdict.NotRun,
  'The credential is missing or unknown.',
);

export const NO_REQUEST_ID = verdict.failure(
  FailureReason.BadRequest,
  Verdict.NotRun,
  'The request has no id.',
);

export const UNKNOWN_SERVICE = verdict.failure(
  FailureReason.StreamOriginUnknown,
  Verdict.NotRun,
  'The request does not name the attempt that began its stream, and several services may have; begin the stream anew.',
  { retryAfterMilliseconds: 5_000 },
);

export const INVALID_LAST_EVENT = verdict.failure(
  FailureReason.BadRequest,
  Verdict.NotRun,
  'The last event that the request names is no number.',
);

export const OLDER_TABLE = verdict.failure(
  FailureReason.ShuttingDown,
  Verdict.NotRun,
  'This router has an older routing table than the one that forwarded the request.',
  { retryAfterMilliseconds: 200 },
);

export const CUT_OFF = verdict.failure(
  FailureReason.NoBackendServer,
  Verdict.NotRun,
  'This router cannot reach the backend servers.',
  { retryAfterMilliseconds: 300 },
);

export const TOO_MANY_REQUESTS = verdict.failure(
  FailureReason.Overloaded,
  Verdict.NotRun,
  'This router holds as many requests as it can; the request was not sent.',
  { retryAfterMilliseconds: 500 },
);
