import type * as backend from '../backend';
import * as verdict from '../verdict';

/** Receives what executions observe of backend servers; the membership task implements it. */
export abstract class ServerObserver {
  abstract incarnationObserved(serverId: string, incarnation: string): void;

  /** Reports an answer which says that its server leaves. */
  abstract answeredAsLeaving(answer: backend.LeavingAnswer): void;

  /**
   * Reports that a server wants no request of this daemon for a time.
   *
   * @param incarnation the run of its process that said so; absent if it is unknown
   */
  abstract paused(serverId: string, pauseMilliseconds: number, incarnation?: string): void;

  /** Reports a failed attempt, whose reason may concern the server or the connection to it. */
  abstract attemptFailed(serverId: string, failure: verdict.RequestFailure): void;
}
