import * as verdict from '../verdict';
import type * as state from './state';
import type * as steps from './step';

/** A reason to refuse a request at its arrival, before any byte of it was sent. */
export abstract class ArrivalCheck {
  abstract refusal(
    step: steps.Step,
    request: state.RequestState,
  ): verdict.RequestFailure | undefined;
}

/** The first refusal of a list of checks, if any. */
export function firstRefusal(
  checks: readonly ArrivalCheck[],
  step: steps.Step,
  request: state.RequestState,
): verdict.RequestFailure | undefined {
  for (const check of checks) {
    const refusal = check.refusal(step, request);
    if (refusal !== undefined) {
      return refusal;
    }
  }
  return undefined;
}
