import type * as arrivalCheck from './arrival-check';
import * as deadlineCheck from './deadline-check';
import * as availabilityCheck from './availability-check';
import * as repeatCheck from './repeat-check';

/** The arrival checks of the daemon. The quarantine is checked whenever a request is queued. */
export const STANDARD_CHECKS: readonly arrivalCheck.ArrivalCheck[] = [
  new availabilityCheck.AvailabilityCheck(),
  new deadlineCheck.DeadlineCheck(),
  new repeatCheck.RepeatCheck(),
];
