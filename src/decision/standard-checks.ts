import type * as arrivalCheck from './arrival-check';
import * as deadlineCheck from './deadline-check';
import * as servedCheck from './served-check';

/** The checks that the daemon uses. Quarantine is checked whenever a request is queued. */
export const STANDARD_CHECKS: readonly arrivalCheck.ArrivalCheck[] = [
  new servedCheck.ServedCheck(),
  new deadlineCheck.DeadlineCheck(),
];
