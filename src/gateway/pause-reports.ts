import * as backend from '../backend';
import * as decision from '../decision';
import * as logging from '../logging';
import * as membership from '../membership';
import type * as relayContext from './relay-context';

type ReportContext = Pick<relayContext.RelayContext, 'task' | 'observer'>;

/**
 * Reports the pause that an answer asks for, before the failure of its attempt is: the retry then goes elsewhere. It holds for
 * the run of the server's process to which the request was sent.
 *
 * @example
 * reportPause(context, server, { pauseMilliseconds: 4_000 });
 */
export function reportPause(
  { task, observer }: ReportContext,
  { id: serverId, incarnation }: Pick<membership.EligibleServer, 'id' | 'incarnation'>,
  { pauseMilliseconds }: backend.ServerLimits,
): void {
  if (pauseMilliseconds === undefined) {
    return;
  }
  logger.information('backend server wants a pause', {
    backendServer: serverId,
    incarnation,
    pauseMilliseconds,
  });
  observer.paused(serverId, pauseMilliseconds, incarnation);
  const kind = decision.DecisionEventKind.ServerPaused;
  task.feed({ kind, at: task.now(), serverId, incarnation, pauseMilliseconds });
}

const logger = new logging.Logger('gateway');
