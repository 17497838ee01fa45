import * as immutable from 'immutable';
import * as effects from './effect';
import * as entry from './entry';
import type * as events from './event';
import * as logs from './log';
import * as message from './message';
import * as progresses from './progress';
import * as roles from './role';
import * as sending from './sending';
import * as states from './state';
import * as steps from './step';

/** Becomes the leader: replication to every voter starts at the end of the leader's log. */
export function becomeLeader(step: steps.Step): steps.Step {
  const { state, context } = step;
  const progress = immutable.Map(
    states
      .voters(state)
      .map((member) => [member.replicaId, progresses.newProgress(state, member, context)]),
  );
  const leading = steps.withState(step, {
    role: states.Role.Leader,
    leader: state.self,
    grants: immutable.Set(),
    progress,
    nextHeartbeatAt: context.now + state.parameters.heartbeatMilliseconds,
  });
  const reported = steps.report(leading, effects.Notice.BecameLeader);
  return appendOwn(reported, [{ kind: entry.EntryKind.NoOperation }]);
}

/** Appends proposals to the log, or rejects them when this replica is not the leader. */
export function onPropose(step: steps.Step, request: events.Propose): steps.Step {
  const { state } = step;
  if (state.role !== states.Role.Leader) {
    return request.proposals.reduce(
      (rejected, { proposalId }) =>
        steps.emit(rejected, { kind: effects.EffectKind.Reject, proposalId }),
      step,
    );
  }
  const first = logs.lastIndex(state.log) + 1;
  const accepted = request.proposals.reduce(
    (next, { proposalId }, position) =>
      steps.emit(next, {
        kind: effects.EffectKind.Accept,
        proposalId,
        index: first + position,
        term: state.term,
      }),
    step,
  );
  const contents = request.proposals.map(({ data }) => ({ kind: entry.EntryKind.Command, data }));
  return appendOwn(accepted, contents);
}

/** Appends entries of the leader's own term, sends them and commits what a majority already has. */
export function appendOwn(
  step: steps.Step,
  contents: readonly Pick<entry.Entry, 'kind' | 'data' | 'group'>[],
): steps.Step {
  const { state, context } = step;
  const last = logs.lastIndex(state.log);
  const timestamp = Math.max(context.wallClock, logs.lastTimestamp(state.log));
  const entries = contents.map((content, position) => ({
    ...content,
    index: last + 1 + position,
    term: state.term,
    timestamp,
  }));
  return advanceCommit(sending.sendToAll(steps.replaceLog(step, last, entries)));
}

/** Sends heartbeats, and steps down when no majority answered within an election timeout. */
export function onTick(step: steps.Step): steps.Step {
  const { state, context } = step;
  if (state.role !== states.Role.Leader) {
    return step;
  }
  const { electionTimeoutMilliseconds, heartbeatMilliseconds } = state.parameters;
  const isReachable = (replicaId: string) =>
    replicaId === state.self.replicaId ||
    progresses.isRecent(step, replicaId, electionTimeoutMilliseconds);
  if (!states.isMajority(state, isReachable)) {
    return steps.report(roles.stepDown(step), effects.Notice.QuorumLost);
  }
  if (context.now < state.nextHeartbeatAt) {
    return step;
  }
  const next = steps.withState(step, { nextHeartbeatAt: context.now + heartbeatMilliseconds });
  return state.progress.reduce(
    (sent, target) =>
      sending.sendNext(sending.sendHeartbeat(sent, target), target.member.replicaId),
    next,
  );
}

/** Follows the leader of the current term. Conflicting entries that are not committed are replaced. */
export function onAppend(step: steps.Step, request: message.Append): steps.Step {
  if (request.term < step.state.term) {
    return reply(step, request, false, 0);
  }
  const followed = roles.follow(step, request.from);
  const { state } = followed;
  const last = logs.lastIndex(state.log);
  const previousTerm = logs.termAt(state.log, request.previousIndex);
  // A snapshot covers the entries up to the base, so they are committed and cannot differ.
  const isCovered = request.previousIndex < state.log.baseIndex;
  if (!isCovered && previousTerm !== request.previousTerm) {
    const hint =
      request.previousIndex > last
        ? last
        : logs.firstIndexOfTerm(state.log, request.previousIndex) - 1;
    return reply(followed, request, false, Math.max(hint, state.commitIndex));
  }
  const match = request.previousIndex + request.entries.length;
  const appended = appendMissing(followed, request.entries);
  if (appended.state.role === states.Role.Stopped) {
    return appended;
  }
  const commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, match));
  const isCaughtUp = state.isCaughtUp || hasAllCommitted(appended.state, request, match);
  return reply(steps.withState(appended, { commitIndex, isCaughtUp }), request, true, match);
}

/** A new leader does not know how far the log is committed until it has committed an entry of its own term. */
function hasAllCommitted(
  state: states.ReplicaState,
  { commitIndex, term }: message.Append,
  match: number,
): boolean {
  return commitIndex <= match && logs.termAt(state.log, commitIndex) === term;
}

export function onAppendReply(step: steps.Step, answer: message.AppendReply): steps.Step {
  const { state, context } = step;
  const progress = state.progress.get(answer.from.replicaId);
  if (state.role !== states.Role.Leader || answer.term !== state.term || progress === undefined) {
    return step;
  }
  const sentAt = answer.leaderTime ?? Number.NEGATIVE_INFINITY;
  const acknowledgedAt = Math.max(progress.acknowledgedAt ?? Number.NEGATIVE_INFINITY, sentAt);
  const contacted = { ...progress, lastContactAt: context.now, acknowledgedAt };
  const advanced = answer.success
    ? increaseMatchIndex(contacted, answer)
    : decreaseNextIndex(contacted, answer);
  const nextIndex = Math.min(advanced.nextIndex, logs.lastIndex(state.log) + 1);
  const updated = progresses.withProgress(step, { ...advanced, nextIndex });
  return sending.sendNext(advanceCommit(updated), progress.member.replicaId);
}

/** A reply without progress is a duplicate: sending again on it would multiply messages. */
function increaseMatchIndex(
  progress: states.Progress,
  answer: message.AppendReply,
): states.Progress {
  if (answer.matchIndex <= progress.matchIndex) {
    return progress;
  }
  const { matchIndex } = answer;
  const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
  return { ...progress, matchIndex, nextIndex, sentAt: undefined };
}

/** Decreases `nextIndex` to where the logs may agree. */
function decreaseNextIndex(
  progress: states.Progress,
  answer: message.AppendReply,
): states.Progress {
  const nextIndex = Math.max(answer.matchIndex, progress.matchIndex) + 1;
  return nextIndex < progress.nextIndex ? { ...progress, nextIndex, sentAt: undefined } : progress;
}

/**
 * Commits the highest index of the current term that a majority has on disk (Ongaro and Ousterhout, "In
 * Search of an Understandable Consensus Algorithm", section 5.4.2: entries of earlier terms are committed
 * only through a later entry of the current term).
 */
function advanceCommit(step: steps.Step): steps.Step {
  const { state } = step;
  const lastOwnIndex = logs.lastIndex(state.log);
  const matchIndexes = states
    .voters(state)
    .map(({ replicaId }) =>
      replicaId === state.self.replicaId
        ? lastOwnIndex
        : (state.progress.get(replicaId)?.matchIndex ?? 0),
    )
    .sort((left, right) => right - left);
  const index = matchIndexes[Math.floor(matchIndexes.length / 2)] ?? 0;
  const isCommitted = index > state.commitIndex && logs.termAt(state.log, index) === state.term;
  return isCommitted
    ? reportGroup(
        steps.withState(step, { commitIndex: index, isCaughtUp: true }),
        state.commitIndex,
      )
    : step;
}

/** Reports the voters of a change that is committed now: until then it can be lost with the leader. */
function reportGroup(step: steps.Step, previousCommitIndex: number): steps.Step {
  const { groups, commitIndex } = step.state;
  const committed = groups.findLast(
    ({ index }) => index > previousCommitIndex && index <= commitIndex,
  );
  const addresses = committed?.group.voters.map(({ address }) => address);
  return addresses === undefined
    ? step
    : steps.report(step, effects.Notice.GroupCommitted, addresses.join(', '));
}

function appendMissing(step: steps.Step, entries: readonly entry.Entry[]): steps.Step {
  const { state } = step;
  const position = entries.findIndex(
    (candidate) =>
      candidate.index > state.log.baseIndex &&
      logs.termAt(state.log, candidate.index) !== candidate.term,
  );
  if (position < 0) {
    return step;
  }
  const previousIndex = entries[position].index - 1;
  if (previousIndex < state.commitIndex) {
    const stopped = steps.withState(step, { role: states.Role.Stopped });
    return steps.report(stopped, effects.Notice.CommittedConflict);
  }
  return roles.refreshRole(steps.replaceLog(step, previousIndex, entries.slice(position)));
}

function reply(
  step: steps.Step,
  request: message.Append,
  success: boolean,
  matchIndex: number,
): steps.Step {
  return steps.send(step, request.from, {
    kind: message.MessageKind.AppendReply,
    success,
    matchIndex,
    heartbeat: request.entries.length === 0,
    ...(request.leaderTime === undefined ? {} : { leaderTime: request.leaderTime }),
  });
}
