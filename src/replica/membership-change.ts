import * as effects from './effect';
import * as entry from './entry';
import * as logs from './log';
import type * as message from './message';
import * as progresses from './progress';
import * as replication from './replication';
import * as sending from './sending';
import * as states from './state';
import * as steps from './step';

// A learner without contact for this long is removed, so that it does not stay in the leader's memory.
const LEARNER_TIMEOUT_MILLISECONDS = 10_000;

/**
 * Starts to send the log to a replica that is not a voter: a new one that asks to join, or one that was
 * removed during a partition and starts an election because it does not have the entry that removed it.
 */
export function onJoin(step: steps.Step, request: message.Join | message.PreVote): steps.Step {
  const { state, context } = step;
  const { replicaId } = request.from;
  if (state.role !== states.Role.Leader || state.progress.has(replicaId)) {
    return step;
  }
  const progress = progresses.newProgress(state, request.from, context);
  const fromStart = { ...progress, nextIndex: 1 };
  return sending.sendNext(progresses.withProgress(step, fromStart), replicaId);
}

/**
 * Replaces a voter whose disk was lost: once a learner has every committed entry, the old id is removed, and
 * only then the learner becomes a voter. In this order each VM counts once, so that a learner whose disk is
 * lost as well does not block the group. Changes are made one at a time, and only after an entry of the current
 * term is committed, because two majorities of concurrent changes need not overlap (Ongaro, "Consensus:
 * Bridging Theory and Practice", section 4.1, and its correction of July 2015).
 */
export function advance(step: steps.Step): steps.Step {
  const { state } = step;
  if (state.role !== states.Role.Leader) {
    return step;
  }
  const withoutSilentLearners = dropSilentLearners(step);
  return mayChangeVoters(state) ? changeOne(withoutSilentLearners) : withoutSilentLearners;
}

function mayChangeVoters({ groups, commitIndex, log, term }: states.ReplicaState): boolean {
  const changedAt = groups.last()?.index ?? 0;
  return changedAt <= commitIndex && logs.termAt(log, commitIndex) === term;
}

function changeOne(step: steps.Step): steps.Step {
  const learners = readyLearners(step);
  const replaced = learners.flatMap((learner) => {
    const voter = voterToReplace(step, learner);
    return voter === undefined ? [] : [{ voter, learner }];
  })[0];
  if (replaced !== undefined) {
    return remove(step, replaced.voter, [replaced.learner.address]);
  }
  const surplus = surplusVoter(step);
  if (surplus !== undefined) {
    return remove(step, surplus, []);
  }
  const learner = learners.find((ready) => mayBeAdded(step.state, ready));
  return learner === undefined ? step : add(step, learner);
}

/** Whether the learner can become a voter without another removal. */
function mayBeAdded(state: states.ReplicaState, learner: entry.Member): boolean {
  const { targetVoters } = state.parameters;
  return targetVoters > 0
    ? states.voters(state).length < targetVoters
    : states.pendingVoterAddresses(state).includes(learner.address);
}

/** The unreachable voter that the learner can replace. */
function voterToReplace(step: steps.Step, learner: entry.Member): entry.Member | undefined {
  return mayBeAdded(step.state, learner)
    ? undefined
    : states
        .voters(step.state)
        .find((voter) => isRemovable(step, voter) && mayReplace(step, learner, voter));
}

/** An unreachable voter while there are more voters than `targetVoters`. */
function surplusVoter(step: steps.Step): entry.Member | undefined {
  const { targetVoters } = step.state.parameters;
  const voters = states.voters(step.state);
  return targetVoters > 0 && voters.length > targetVoters
    ? voters.find((voter) => isRemovable(step, voter))
    : undefined;
}

function isRemovable(step: steps.Step, voter: entry.Member): boolean {
  return !isReachable(step, voter.replicaId) && isMajorityReachable(step, without(step, voter));
}

/**
 * A new replica at the same address shows that the old disk is lost; at another address only a long silence
 * does.
 */
function mayReplace(step: steps.Step, learner: entry.Member, voter: entry.Member): boolean {
  const { replaceMilliseconds } = step.state.parameters;
  return (
    voter.address === learner.address ||
    (replaceMilliseconds > 0 && isSilent(step, voter.replicaId, replaceMilliseconds))
  );
}

/** Reachable learners that have every committed entry, and with which the group can commit. */
function readyLearners(step: steps.Step): readonly entry.Member[] {
  const { state } = step;
  return [...state.progress.values()]
    .filter(
      ({ member, matchIndex }) =>
        !states.isVoter(state, member.replicaId) &&
        isReachable(step, member.replicaId) &&
        matchIndex >= state.commitIndex &&
        isMajorityReachable(step, [...states.voters(state), member]),
    )
    .map(({ member }) => member);
}

function isSilent(step: steps.Step, replicaId: string, milliseconds: number): boolean {
  return (
    replicaId !== step.state.self.replicaId && !progresses.isRecent(step, replicaId, milliseconds)
  );
}

/** A change to voters that cannot commit it would block the group. */
function isMajorityReachable(step: steps.Step, voters: readonly entry.Member[]): boolean {
  const reachable = voters.filter((voter) => isReachable(step, voter.replicaId));
  return reachable.length * 2 > voters.length;
}

function without(step: steps.Step, member: entry.Member): readonly entry.Member[] {
  return states.voters(step.state).filter((voter) => voter.replicaId !== member.replicaId);
}

function isReachable(step: steps.Step, replicaId: string): boolean {
  const { self, parameters } = step.state;
  return (
    replicaId === self.replicaId ||
    progresses.isRecent(step, replicaId, parameters.electionTimeoutMilliseconds)
  );
}

function add(step: steps.Step, member: entry.Member): steps.Step {
  const voters = [...states.voters(step.state), member];
  const awaited = states
    .pendingVoterAddresses(step.state)
    .filter((address) => address !== member.address);
  return change(step, { voters, awaited }, `added ${describe(member)}`);
}

function remove(
  step: steps.Step,
  member: entry.Member,
  replacements: readonly string[],
): steps.Step {
  const awaited = [...states.pendingVoterAddresses(step.state), ...replacements];
  const group = { voters: without(step, member), awaited };
  const next = change(step, group, `removed ${describe(member)}`);
  return steps.withState(next, { progress: next.state.progress.delete(member.replicaId) });
}

function change(step: steps.Step, group: entry.Group, detail: string): steps.Step {
  const reported = steps.report(step, effects.Notice.GroupChanged, detail);
  return replication.appendOwn(reported, [{ kind: entry.EntryKind.Group, group }]);
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
