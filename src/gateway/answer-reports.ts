import * as backend from '../backend';
import * as decision from '../decision';
import * as logging from '../logging';
import type * as membership from '../membership';
import type * as relayContext from './relay-context';

type ReportContext = Pick<relayContext.RelayContext, 'task' | 'requestLimits'>;

/** Reports what an answer says about limits: each gateway hears of a service's limit of refusals by itself within a second. */
export function reportLimits(
  { task, requestLimits }: ReportContext,
  service: string,
  serverId: string,
  { requestsPerSecond, refusalsPerSecond }: backend.ServerLimits,
): void {
  requestLimits.observe(serverId, requestsPerSecond);
  const { refusalLimits } = task.current as decision.DecisionState;
  if (refusalLimits.perSecond.get(service) !== refusalsPerSecond) {
    const kind = decision.DecisionEventKind.RefusalLimitChanged;
    logger.information('limit of refusals of a service changed', {
      service,
      backendServer: serverId,
      refusalsPerSecond: refusalsPerSecond ?? 'none',
    });
    task.feed({ kind, at: task.now(), service, refusalsPerSecond });
  }
}

/** Reports an answer which says that its server leaves; it concerns the run that the request expected. */
export function reportLeaving(
  { observer }: Pick<relayContext.RelayContext, 'observer'>,
  machine: backend.MachineRecord,
  { incarnation }: membership.EligibleServer,
): void {
  observer.answeredAsLeaving({ machine, incarnation });
}

/** Ignores the load of engines, which the daemons exchange themselves, including the memory that requests use. */
export function reportLoad(
  { task }: ReportContext,
  machine: backend.MachineRecord,
  load: backend.RelayLoad,
): void {
  if (machine.kind === backend.BackendKind.ModelEngine) {
    return;
  }
  task.feed({
    kind: decision.DecisionEventKind.LoadReported,
    at: task.now(),
    serverId: machine.id,
    incarnation: machine.incarnation ?? machine.id,
    weightsVersion: '',
    ageMilliseconds: LOAD_AGE_MILLISECONDS,
    runningRequests: load.running,
    queuedRequests: load.waiting,
    queuedPrefillTokens: 0,
  });
}

const logger = new logging.Logger('gateway');

/** One-way delay from a server in another region. */
const LOAD_AGE_MILLISECONDS = 10;
