import * as verdict from '../verdict';
import type * as serverSelection from './server-selection';
import type * as state from './state';
import type * as steps from './step';

/** A reason to refuse a request at its arrival, before any byte of it was sent. */
export abstract class ArrivalCheck {
  /** @param target what `findTarget` gives for the request; weighing all servers again would cost as much */
  abstract refusal(
    step: steps.Step,
    request: state.RequestState,
    target: serverSelection.Target | undefined,
  ): verdict.RequestFailure | undefined;
}

/** The first refusal of a list of checks, if any. */
export function firstRefusal(
  checks: readonly ArrivalCheck[],
  step: steps.Step,
  request: state.RequestState,
  target: serverSelection.Target | undefined,
): verdict.RequestFailure | undefined {
  for (const check of checks) {
    const refusal = check.refusal(step, request, target);
    if (refusal !== undefined) {
      return refusal;
    }
  }
  return undefined;
}
