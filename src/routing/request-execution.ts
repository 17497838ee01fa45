import * as decision from '../decision';
import * as verdict from '../verdict';

/** One request while the decision task handles it; carries out what the core decided about it. */
export abstract class RequestExecution {
  abstract readonly profile: decision.RequestProfile;

  /** Whether an attempt is at a backend server. */
  abstract get isRunning(): boolean;

  /** Starts an attempt. Every attempt ends with an event that finishes it or makes it fail. */
  abstract dispatch(effect: decision.Dispatch): void;

  abstract cancelAttempt(attemptId: string): void;

  /** Ends the request; no attempt is running any more. */
  abstract fail(failure: verdict.RequestFailure): void;
}
