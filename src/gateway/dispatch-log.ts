import type * as decision from '../decision';
import * as logging from '../logging';
import type * as membership from '../membership';
import type * as relayCall from './relay-call';
import type * as relayContext from './relay-context';

/** A dispatch as it is sent. */
export interface LoggedDispatch {
  readonly effect: decision.Dispatch;
  readonly server: membership.EligibleServer;
  readonly cacheSalt: string;
  /** Last event that the caller has received. */
  readonly lastEventId: number | undefined;
}

/** Logs the inputs of the decision that selected the server. */
export function logDispatch(
  { requestId, profile, stream }: relayCall.RelayCall,
  context: Pick<relayContext.RelayContext, 'supersededMilliseconds'>,
  { effect, server, cacheSalt, lastEventId }: LoggedDispatch,
): void {
  const { weightsVersion } = server;
  logger.information('request dispatched', {
    requestId,
    service: profile.service,
    backendServer: effect.serverId,
    attempt: effect.attemptId,
    softwareVersion: effect.softwareVersion,
    weightsVersion,
    cacheSalt,
    supersededMilliseconds:
      weightsVersion === undefined
        ? undefined
        : context.supersededMilliseconds(profile.service, weightsVersion),
    queuedMilliseconds: Math.round(effect.queuedMilliseconds),
    offer: effect.offer,
    expectedCachedTokens: effect.expectedCachedTokens,
    cacheSource: effect.cacheSource,
    resumeFrom: effect.resumeFrom,
    lastEventId,
    resumes: stream?.firstRequestId === requestId ? undefined : stream?.firstRequestId,
  });
}

const logger = new logging.Logger('gateway');
