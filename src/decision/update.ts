import * as transaction from '../transaction';
import * as arrival from './arrival';
import * as crash from './crash';
import * as dispatching from './dispatching';
import type * as effect from './effect';
import * as ending from './ending';
import * as event from './event';
import * as attemptFailure from './attempt-failure';
import * as serverUpdates from './server-updates';
import * as obsoleteAttempts from './obsolete-attempts';
import * as progress from './progress';
import * as refusalLimits from './refusal-limits';
import * as requestLimits from './request-limits';
import * as serverPauses from './server-pauses';
import * as serviceAvailability from './service-availability';
import type * as state from './state';
import * as stopping from './stopping';
import * as steps from './step';
import * as suspicion from './suspicion';
import * as periodicTasks from './periodic-tasks';

/**
 * Applies an event to the state and returns the effects. A pure function: the same state and event always
 * result in the same transaction.
 *
 * @example
 * const { state, effects } = update(initialState(options), { kind: DecisionEventKind.Tick, at: 20 });
 */
export function update(
  start: state.DecisionState,
  decisionEvent: event.DecisionEvent,
): transaction.Transaction<state.DecisionState, effect.DecisionEffect> {
  const step = new steps.Step(start, decisionEvent.at);
  apply(step, decisionEvent);
  if (mayDispatch(decisionEvent)) {
    dispatching.dispatchQueued(step);
  }
  return step.transaction();
}

/** The servers of a crash event may be those of an outdated list. */
function mayDispatch(decisionEvent: event.DecisionEvent): boolean {
  const { PieceReceived, ServerCrashed } = event.DecisionEventKind;
  return decisionEvent.kind === ServerCrashed
    ? decisionEvent.isListNext !== true
    : decisionEvent.kind !== PieceReceived;
}

function apply(step: steps.Step, decisionEvent: event.DecisionEvent): void {
  switch (decisionEvent.kind) {
    case event.DecisionEventKind.ConfigurationChanged:
      serverUpdates.applyConfiguration(step, decisionEvent);
      return obsoleteAttempts.cancelObsoleteAttempts(step);
    case event.DecisionEventKind.ServersChanged:
      return serverUpdates.applyServers(step, decisionEvent);
    case event.DecisionEventKind.PeersChanged:
      return step.change({
        peers: { position: decisionEvent.position, count: decisionEvent.count },
      });
    case event.DecisionEventKind.DaemonsCounted:
      return step.change({ daemons: decisionEvent.daemons });
    case event.DecisionEventKind.ServerLimitChanged:
      return requestLimits.applyLimit(step, decisionEvent);
    case event.DecisionEventKind.RefusalLimitChanged:
      return refusalLimits.applyRefusalLimit(step, decisionEvent);
    case event.DecisionEventKind.ServerPaused:
      serverPauses.applyPause(step, decisionEvent);
      return serviceAvailability.failUnavailable(step);
    case event.DecisionEventKind.LoadReported:
      return serverUpdates.applyLoadReport(step, decisionEvent);
    case event.DecisionEventKind.LoadsReported:
      return serverUpdates.applyLoads(step, decisionEvent);
    case event.DecisionEventKind.PrefixesPlaced:
      return serverUpdates.applyPlacements(step, decisionEvent);
    case event.DecisionEventKind.DemandReported:
      return serverUpdates.applyDemand(step, decisionEvent);
    case event.DecisionEventKind.CacheEvicted:
      return serverUpdates.applyEviction(step, decisionEvent);
    case event.DecisionEventKind.ServerCrashed:
      return crash.applyCrash(step, decisionEvent);
    case event.DecisionEventKind.QuarantineReported:
      return crash.applyReport(step, decisionEvent);
    case event.DecisionEventKind.CrashEvidenceReported:
      suspicion.applyEvidence(step, decisionEvent);
      return crash.failRefused(step);
    case event.DecisionEventKind.RequestArrived:
      return arrival.applyArrival(step, decisionEvent);
    case event.DecisionEventKind.AnswerStarted:
      return progress.applyAnswerStart(step, decisionEvent);
    case event.DecisionEventKind.PieceReceived:
      return progress.applyPiece(step, decisionEvent);
    case event.DecisionEventKind.AttemptFinished:
      return progress.applyFinish(step, decisionEvent);
    case event.DecisionEventKind.AttemptFailed:
      return attemptFailure.applyFailure(step, decisionEvent);
    case event.DecisionEventKind.RequestCancelled:
      return ending.remove(step, decisionEvent.requestId);
    case event.DecisionEventKind.StopAnnounced:
      return stopping.applyAnnouncement(step, decisionEvent);
    case event.DecisionEventKind.Stopped:
      return stopping.applyStop(step, decisionEvent);
    default:
      return periodicTasks.applyTick(step);
  }
}
