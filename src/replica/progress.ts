import type * as entry from './entry';
import type * as events from './event';
import * as logs from './log';
import * as states from './state';
import * as steps from './step';

export function withProgress(step: steps.Step, progress: states.Progress): steps.Step {
  const { replicaId } = progress.member;
  return steps.withState(step, { progress: step.state.progress.set(replicaId, progress) });
}

export function newProgress(
  state: states.ReplicaState,
  member: entry.Member,
  context: events.EventContext,
): states.Progress {
  return {
    member,
    nextIndex: logs.lastIndex(state.log) + 1,
    matchIndex: 0,
    lastContactAt: context.now,
    snapshotOffset: 0,
  };
}

/** Whether a reply of a replica arrived within the last `milliseconds`. */
export function isRecent(step: steps.Step, replicaId: string, milliseconds: number): boolean {
  const lastContactAt = step.state.progress.get(replicaId)?.lastContactAt;
  return lastContactAt !== undefined && step.context.now - lastContactAt < milliseconds;
}
