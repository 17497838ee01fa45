import * as decision from '../decision';
import * as verdict from '../verdict';

/** One queued or running request; carries out the effects of the decision core on it. */
export abstract class RequestExecution {
  abstract readonly profile: decision.RequestProfile;

  /** Whether an attempt is running at a backend server. */
  abstract get isRunning(): boolean;

  /** Starts an attempt. Unless it is cancelled, it ends with `AttemptFinished` or `AttemptFailed`. */
  abstract dispatch(effect: decision.Dispatch): void;

  abstract cancelAttempt(attemptId: string, reason: decision.CancelReason): void;

  /** The request's stream has started, and waits to be sent again. */
  awaitRetry?(effect: decision.AwaitRetry): void;

  /** This daemon cannot reach the backend servers; the request may be run in another way. */
  connectivityLost?(): void;

  /**
   * Ends the request; no attempt is running any more.
   *
   * @param cutStream present if the caller has received a part of a stream, for the log
   */
  abstract fail(failure: verdict.RequestFailure, cutStream?: decision.CutStream): void;
}
