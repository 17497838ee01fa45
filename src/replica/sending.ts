import type * as entry from './entry';
import * as logs from './log';
import * as message from './message';
import * as progresses from './progress';
import * as states from './state';
import * as steps from './step';

/** Sends the entries or the snapshot that a replica lacks, unless an earlier message is still unanswered. */
export function sendNext(step: steps.Step, replicaId: string): steps.Step {
  const { state, context } = step;
  const target = state.progress.get(replicaId);
  if (target === undefined || replicaId === state.self.replicaId) {
    return step;
  }
  const isWaiting =
    target.sentAt !== undefined &&
    context.now - target.sentAt < state.parameters.electionTimeoutMilliseconds;
  if (isWaiting || target.nextIndex > logs.lastIndex(state.log)) {
    return step;
  }
  const sent = progresses.withProgress(step, { ...target, sentAt: context.now });
  return target.nextIndex <= state.log.baseIndex
    ? sendChunk(sent, replicaId)
    : sendEntries(sent, target, batch(state, target.nextIndex));
}

export function sendToAll(step: steps.Step): steps.Step {
  return [...step.state.progress.keys()].reduce(sendNext, step);
}

export function sendHeartbeat(step: steps.Step, target: states.Progress): steps.Step {
  const { state } = step;
  if (target.member.replicaId === state.self.replicaId) {
    return step;
  }
  // A replica that needs a snapshot has no entry in common with the log; index 0 always matches.
  const needsSnapshot = target.nextIndex <= state.log.baseIndex;
  const probe = needsSnapshot ? { ...target, nextIndex: 1 } : target;
  return sendEntries(step, probe, []);
}

/** Sends the next chunk of the snapshot to a replica whose next entry was compacted. */
function sendChunk(step: steps.Step, replicaId: string): steps.Step {
  const { snapshot, progress, parameters } = step.state;
  const target = progress.get(replicaId);
  if (snapshot === undefined || target === undefined) {
    return step;
  }
  // A newer snapshot replaces the one in transfer, so the transfer starts again.
  const offset = target.snapshotIndex === snapshot.index ? target.snapshotOffset : 0;
  const next = { ...target, snapshotIndex: snapshot.index, snapshotOffset: offset };
  return steps.send(progresses.withProgress(step, next), target.member, {
    kind: message.MessageKind.Snapshot,
    index: snapshot.index,
    snapshotTerm: snapshot.term,
    timestamp: snapshot.timestamp,
    group: snapshot.group,
    offset,
    totalBytes: snapshot.data.length,
    data: snapshot.data.subarray(offset, offset + parameters.snapshotChunkBytes),
  });
}

function sendEntries(
  step: steps.Step,
  target: states.Progress,
  entries: readonly entry.Entry[],
): steps.Step {
  const { state, context } = step;
  const previousIndex = target.nextIndex - 1;
  return steps.send(step, target.member, {
    kind: message.MessageKind.Append,
    previousIndex,
    previousTerm: previousIndex === 0 ? 0 : (logs.termAt(state.log, previousIndex) ?? 0),
    entries,
    commitIndex: state.commitIndex,
    leaderTime: context.now,
  });
}

/** As many entries from `first` on as one message may carry, but at least one. */
function batch(state: states.ReplicaState, first: number): readonly entry.Entry[] {
  const { maximumAppendEntries, maximumAppendBytes } = state.parameters;
  const candidates = logs.slice(state.log, first, first + maximumAppendEntries - 1);
  let bytes = 0;
  const end = candidates.findIndex((candidate, position) => {
    bytes += candidate.data?.length ?? 0;
    return position > 0 && bytes > maximumAppendBytes;
  });
  return end < 0 ? candidates : candidates.slice(0, end);
}
