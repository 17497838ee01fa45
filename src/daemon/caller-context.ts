import * as clock from '../clock';
import * as routing from '../routing';
import type * as callerLimits from './caller-limits';
import type * as readiness from './readiness';

/** Dependencies of the controllers behind the caller listener. */
export class CallerContext {
  constructor(
    readonly router: routing.Router,
    readonly readiness: readiness.Readiness,
    readonly time: clock.Clock,
    readonly limits: callerLimits.CallerLimits,
  ) {}
}
