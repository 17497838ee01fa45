import type * as verdict from '../verdict';

/** A body that is not read to its end, with the answer for its caller. */
export class BodyRefused extends Error {
  constructor(readonly failure: verdict.RequestFailure) {
    super(failure.message);
  }
}
