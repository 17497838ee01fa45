import * as effects from './effect';
import * as entry from './entry';
import * as logs from './log';
import type * as message from './message';
import * as progresses from './progress';
import * as replication from './replication';
import * as sending from './sending';
import * as states from './state';
import * as steps from './step';

// A learner that went away must not be kept in the leader's memory.
const LEARNER_TIMEOUT_MILLISECONDS = 10_000;

/** Starts to send the log to a replica that is not a voter. */
export function onJoin(step: steps.Step, request: message.Join): steps.Step {
  const { state, context } = step;
  const { replicaId } = request.from;
  if (state.role !== states.Role.Leader || state.progress.has(replicaId)) {
    return step;
  }
  const progress = progresses.newProgress(state, request.from, context);
  const probe = { ...progress, nextIndex: 1 };
  return sending.sendNext(progresses.withProgress(step, probe), replicaId);
}

/**
 * Replaces a voter whose disk was lost: a learner at its address becomes a voter once it has every
 * committed entry, and only then the old id is removed. One change at a time, and only after an entry of
 * the own term is committed, because two majorities of concurrent changes need not overlap (Ongaro,
 * "Consensus: Bridging Theory and Practice", section 4.1, and its correction of July 2015).
 */
export function advance(step: steps.Step): steps.Step {
  const { state } = step;
  if (state.role !== states.Role.Leader) {
    return step;
  }
  const kept = dropSilentLearners(step);
  const changedAt = state.groups.last()?.index ?? 0;
  const isSettled =
    changedAt <= state.commitIndex && logs.termAt(state.log, state.commitIndex) === state.term;
  if (!isSettled) {
    return kept;
  }
  const replaced = replacedVoter(kept);
  if (replaced !== undefined) {
    return remove(kept, replaced);
  }
  const learner = readyLearner(kept);
  return learner === undefined ? kept : add(kept, learner);
}

/**
 * A voter whose address has a newer voter, since it has lost its disk and can never return, or one that is
 * silent while there are more voters than wanted.
 */
function replacedVoter(step: steps.Step): entry.Member | undefined {
  const voters = states.voters(step.state);
  const { targetVoters } = step.state.parameters;
  const hasSpare = targetVoters > 0 && voters.length > targetVoters;
  return voters.find(
    (old, position) =>
      (hasSpare || voters.slice(position + 1).some((newer) => newer.address === old.address)) &&
      !isAlive(step, old.replicaId),
  );
}

/** A learner that has every committed entry and a place among the voters. */
function readyLearner(step: steps.Step): entry.Member | undefined {
  const { state } = step;
  const found = [...state.progress.values()].find(
    ({ member, matchIndex }) =>
      !states.isVoter(state, member.replicaId) &&
      hasPlace(step, member) &&
      isAlive(step, member.replicaId) &&
      matchIndex >= state.commitIndex &&
      isMajorityAliveWith(step, member.replicaId),
  );
  return found?.member;
}

/** Whether voters are wanting, or the learner can take the place of a voter that is not heard any longer. */
function hasPlace(step: steps.Step, learner: entry.Member): boolean {
  const { state } = step;
  const { targetVoters, replaceMilliseconds } = state.parameters;
  const voters = states.voters(state);
  return (
    voters.length < targetVoters ||
    voters.some((voter) =>
      voter.address === learner.address
        ? !isAlive(step, voter.replicaId)
        : replaceMilliseconds > 0 && isSilent(step, voter.replicaId, replaceMilliseconds),
    )
  );
}

function isSilent(step: steps.Step, replicaId: string, milliseconds: number): boolean {
  return (
    replicaId !== step.state.self.replicaId && !progresses.isRecent(step, replicaId, milliseconds)
  );
}

/** The group with the learner must be able to commit, or the change would block it. */
function isMajorityAliveWith(step: steps.Step, learnerId: string): boolean {
  const ids = [...states.voters(step.state).map((voter) => voter.replicaId), learnerId];
  const alive = ids.filter((replicaId) => isAlive(step, replicaId));
  return alive.length * 2 > ids.length;
}

function isAlive(step: steps.Step, replicaId: string): boolean {
  const { self, parameters } = step.state;
  return (
    replicaId === self.replicaId ||
    progresses.isRecent(step, replicaId, parameters.electionTimeoutMilliseconds)
  );
}

function add(step: steps.Step, member: entry.Member): steps.Step {
  return change(step, [...states.voters(step.state), member], `added ${describe(member)}`);
}

function remove(step: steps.Step, member: entry.Member): steps.Step {
  const { state } = step;
  const rest = states.voters(state).filter((voter) => voter.replicaId !== member.replicaId);
  const next = change(step, rest, `removed ${describe(member)}`);
  return steps.withState(next, { progress: next.state.progress.delete(member.replicaId) });
}

function change(step: steps.Step, voters: readonly entry.Member[], detail: string): steps.Step {
  const reported = steps.report(step, effects.Notice.GroupChanged, detail);
  return replication.appendOwn(reported, [{ kind: entry.EntryKind.Group, group: { voters } }]);
}

function dropSilentLearners(step: steps.Step): steps.Step {
  const { state } = step;
  const progress = state.progress.filter(
    ({ member }) =>
      states.isVoter(state, member.replicaId) ||
      progresses.isRecent(step, member.replicaId, LEARNER_TIMEOUT_MILLISECONDS),
  );
  return progress.size === state.progress.size ? step : steps.withState(step, { progress });
}

function describe(member: entry.Member): string {
  return `${member.replicaId} at ${member.address}`;
}
