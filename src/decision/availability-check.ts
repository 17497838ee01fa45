import * as verdict from '../verdict';
import * as arrivalCheck from './arrival-check';
import * as serviceAvailability from './service-availability';
import type * as state from './state';
import type * as steps from './step';

/** Refuses a request whose service has no server that may get requests. */
export class AvailabilityCheck extends arrivalCheck.ArrivalCheck {
  override refusal(
    step: steps.Step,
    request: state.RequestState,
  ): verdict.RequestFailure | undefined {
    return serviceAvailability.isAvailable(step, request)
      ? undefined
      : serviceAvailability.unavailableFailure(step, request);
  }
}
