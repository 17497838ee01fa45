import * as verdict from '../verdict';
import type * as serverSelection from './server-selection';
import type * as state from './state';
import type * as steps from './step';

/** A check that may refuse a request at its arrival, before the daemon sends any byte of it. */
export abstract class ArrivalCheck {
  /**
   * The failure of the request, or undefined when it passes.
   *
   * @param target result of `findTarget` for the request, so that no check evaluates all servers again
   */
  abstract refusal(
    step: steps.Step,
    request: state.RequestState,
    target: serverSelection.Target | undefined,
  ): verdict.RequestFailure | undefined;
}

/** The failure of the first check that refuses the request; undefined when all checks pass. */
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
