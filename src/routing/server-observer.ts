import * as verdict from '../verdict';

/** Port through which executions tell the membership task what they saw of a server. */
export abstract class ServerObserver {
  abstract incarnationObserved(serverId: string, incarnation: string): void;

  /** Reports a failure that says something about the server or the connection to it. */
  abstract attemptFailed(serverId: string, failure: verdict.RequestFailure): void;
}
