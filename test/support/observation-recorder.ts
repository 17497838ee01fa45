import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';

/** Records the failures that executions reported about servers. */
export class ObservationRecorder extends routing.ServerObserver {
  readonly failures: { readonly serverId: string; readonly reason: verdict.FailureReason }[] = [];

  override incarnationObserved(): void {}

  override answeredAsLeaving(): void {}

  override paused(): void {}

  override attemptFailed(serverId: string, failure: verdict.RequestFailure): void {
    this.failures.push({ serverId, reason: failure.reason });
  }
}
