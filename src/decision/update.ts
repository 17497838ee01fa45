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
import type * as state from './state';
import * as steps from './step';
import * as periodicTasks from './periodic-tasks';

/**
 * Decides what follows from an event. Pure: the same state and event give the same transaction.
 *
 * @example
 * const { state, effects } = update(initialState(options), { kind: DecisionEventKind.Tick, at: 20 });
 */
export function update(
  start: state.DecisionState,
  given: event.DecisionEvent,
): transaction.Transaction<state.DecisionState, effect.DecisionEffect> {
  const step = new steps.Step(start, given.at);
  apply(step, given);
  if (given.kind !== event.DecisionEventKind.PieceReceived) {
    dispatching.dispatchQueued(step);
  }
  return step.transaction();
}

function apply(step: steps.Step, given: event.DecisionEvent): void {
  switch (given.kind) {
    case event.DecisionEventKind.ConfigurationChanged:
      serverUpdates.applyConfiguration(step, given);
      return obsoleteAttempts.cancelObsoleteAttempts(step);
    case event.DecisionEventKind.ServersChanged:
      return serverUpdates.applyServers(step, given);
    case event.DecisionEventKind.PeersChanged:
      return step.change({ peers: { position: given.position, count: given.count } });
    case event.DecisionEventKind.LoadReported:
      return serverUpdates.applyLoadReport(step, given);
    case event.DecisionEventKind.LoadsReported:
      return serverUpdates.applyLoads(step, given);
    case event.DecisionEventKind.PrefixesPlaced:
      return serverUpdates.applyPlacements(step, given);
    case event.DecisionEventKind.CacheEvicted:
      return serverUpdates.applyEviction(step, given);
    case event.DecisionEventKind.ServerCrashed:
      return crash.applyCrash(step, given);
    case event.DecisionEventKind.QuarantineReported:
      return crash.applyReport(step, given);
    case event.DecisionEventKind.RequestArrived:
      return arrival.applyArrival(step, given);
    case event.DecisionEventKind.AnswerStarted:
      return progress.applyAnswerStart(step, given);
    case event.DecisionEventKind.PieceReceived:
      return progress.applyPiece(step, given);
    case event.DecisionEventKind.AttemptFinished:
      return progress.applyFinish(step, given);
    case event.DecisionEventKind.AttemptFailed:
      return attemptFailure.applyFailure(step, given);
    case event.DecisionEventKind.RequestCancelled:
      return ending.remove(step, given.requestId);
    default:
      return periodicTasks.applyTick(step);
  }
}
