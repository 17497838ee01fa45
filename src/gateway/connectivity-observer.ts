import type * as backend from '../backend';
import * as routing from '../routing';
import * as verdict from '../verdict';
import type * as cutDetector from './cut-detector';

/** Passes what executions observe on to the membership task, and lost connections to the cut detector too. */
export class ConnectivityObserver extends routing.ServerObserver {
  constructor(
    private readonly membership: routing.ServerObserver,
    private readonly detector: Pick<cutDetector.CutDetector, 'suspect'>,
  ) {
    super();
  }

  override incarnationObserved(serverId: string, incarnation: string): void {
    this.membership.incarnationObserved(serverId, incarnation);
  }

  override answeredAsLeaving(answer: backend.LeavingAnswer): void {
    this.membership.answeredAsLeaving(answer);
  }

  override paused(serverId: string, pauseMilliseconds: number, incarnation?: string): void {
    this.membership.paused(serverId, pauseMilliseconds, incarnation);
  }

  override attemptFailed(serverId: string, failure: verdict.RequestFailure): void {
    this.membership.attemptFailed(serverId, failure);
    if (CONNECTION_REASONS.has(failure.reason)) {
      this.detector.suspect(serverId);
    }
  }
}

const { FailureReason } = verdict;

/** Reasons that may mean that this daemon has lost its links. */
const CONNECTION_REASONS = new Set([
  FailureReason.ConnectFailed,
  FailureReason.ConnectionLost,
  FailureReason.Timeout,
]);
