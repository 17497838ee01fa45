import * as immutable from 'immutable';
import type * as events from './event';
import * as logs from './log';
import * as message from './message';
import * as progresses from './progress';
import * as roles from './role';
import * as sending from './sending';
import * as states from './state';
import * as steps from './step';

/** Stores the adapter's snapshot and removes old entries except a few that slow followers may need. */
export function onSnapshotTaken(step: steps.Step, taken: events.SnapshotTaken): steps.Step {
  const { state } = step;
  const base = logs.at(state.log, taken.index);
  const active = state.groups.filter((change) => change.index <= taken.index).last();
  const isUsable =
    base !== undefined &&
    taken.index <= state.commitIndex &&
    taken.index > (state.snapshot?.index ?? 0) &&
    !isTransferring(step);
  if (!isUsable || active === undefined) {
    return step;
  }
  const { index, term, timestamp } = base;
  const snapshot = { index, term, timestamp, group: active.group, data: taken.data };
  return steps.withState(step, { snapshot, log: logs.compact(state.log, compactTo(state, index)) });
}

/** The index up to which entries are removed after a snapshot at `index`. */
function compactTo({ log, parameters }: states.ReplicaState, index: number): number {
  const lowest = Math.max(log.baseIndex, index - parameters.trailingEntries);
  let kept = index;
  for (let bytes = 0; kept > lowest; kept -= 1) {
    bytes += logs.at(log, kept)?.data?.length ?? 0;
    if (bytes > parameters.trailingBytes) {
      return kept;
    }
  }
  return kept;
}

/**
 * Whether a reachable replica is receiving the current snapshot. A newer one would restart the transfer, and
 * under constant load the replica would never catch up.
 */
function isTransferring(step: steps.Step): boolean {
  const { progress, log, parameters } = step.state;
  return [...progress.values()].some(
    ({ member, nextIndex }) =>
      nextIndex <= log.baseIndex &&
      progresses.isRecent(step, member.replicaId, parameters.electionTimeoutMilliseconds),
  );
}

/** Collects chunks; the last one replaces the log and the state of the state machine. */
export function onChunk(step: steps.Step, chunk: message.SnapshotChunk): steps.Step {
  if (chunk.term < step.state.term) {
    return step;
  }
  const followed = roles.follow(step, chunk.from);
  const { state } = followed;
  if (chunk.index <= state.commitIndex) {
    return answer(followed, chunk, chunk.totalBytes, true);
  }
  const collected = collect(state.incoming, chunk);
  const received = collected.receivedBytes;
  if (received < chunk.totalBytes) {
    return answer(steps.withState(followed, { incoming: collected }), chunk, received, false);
  }
  return answer(install(followed, chunk, collected), chunk, received, true);
}

export function onChunkReply(step: steps.Step, reply: message.SnapshotReply): steps.Step {
  const { state, context } = step;
  const progress = state.progress.get(reply.from.replicaId);
  if (state.role !== states.Role.Leader || reply.term !== state.term || progress === undefined) {
    return step;
  }
  const contacted = { ...progress, lastContactAt: context.now };
  // Only the reply to the chunk in flight counts: sending again on a duplicate would multiply messages.
  const isCurrent =
    reply.index === progress.snapshotIndex && reply.offset === progress.snapshotOffset;
  const isFirst = isCurrent && progress.sentAt !== undefined;
  const updated = isFirst ? advance(contacted, reply) : contacted;
  return sending.sendNext(progresses.withProgress(step, updated), progress.member.replicaId);
}

function advance(progress: states.Progress, reply: message.SnapshotReply): states.Progress {
  const snapshotOffset = reply.installed ? 0 : reply.receivedBytes;
  const matchIndex = reply.installed
    ? Math.max(progress.matchIndex, reply.index)
    : progress.matchIndex;
  const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
  return { ...progress, matchIndex, nextIndex, snapshotOffset, sentAt: undefined };
}

function collect(
  incoming: states.IncomingSnapshot | undefined,
  chunk: message.SnapshotChunk,
): states.IncomingSnapshot {
  const { index, snapshotTerm: term } = chunk;
  const isContinued = incoming?.index === index && incoming.term === term;
  const base = isContinued
    ? incoming
    : { index, term, chunks: immutable.List<Uint8Array>(), receivedBytes: 0 };
  if (chunk.offset !== base.receivedBytes) {
    return base;
  }
  return {
    ...base,
    chunks: base.chunks.push(chunk.data),
    receivedBytes: base.receivedBytes + chunk.data.length,
  };
}

function install(
  step: steps.Step,
  chunk: message.SnapshotChunk,
  collected: states.IncomingSnapshot,
): steps.Step {
  const { state } = step;
  const { index, snapshotTerm: term, timestamp, group } = chunk;
  const data = Buffer.concat([...collected.chunks]);
  const snapshot = { index, term, timestamp, group, data };
  // Entries after the snapshot are kept when the log agrees with it; otherwise they are also removed on disk.
  const isAgreed = logs.termAt(state.log, index) === term;
  const log: logs.Log = isAgreed
    ? logs.compact(state.log, index)
    : { ...logs.EMPTY_LOG, baseIndex: index, baseTerm: term, baseTimestamp: timestamp };
  const later = logs.slice(log, index + 1, logs.lastIndex(log));
  const groups = states.groupsAfter(immutable.List([{ index, group }]), index, later);
  const changes = { snapshot, log, groups, commitIndex: index, incoming: undefined };
  return roles.refreshRole({
    ...steps.withState(step, changes),
    changedFrom: isAgreed ? step.changedFrom : state.commitIndex + 1,
    isRestored: true,
  });
}

function answer(
  step: steps.Step,
  chunk: message.SnapshotChunk,
  receivedBytes: number,
  installed: boolean,
): steps.Step {
  return steps.send(step, chunk.from, {
    kind: message.MessageKind.SnapshotReply,
    index: chunk.index,
    offset: chunk.offset,
    receivedBytes,
    installed,
  });
}
