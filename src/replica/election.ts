import * as immutable from 'immutable';
import * as effects from './effect';
import * as logs from './log';
import * as message from './message';
import * as replication from './replication';
import * as roles from './role';
import * as states from './state';
import * as steps from './step';

/** Starts or repeats a pre-vote when no leader was heard until the deadline. */
export function onTick(step: steps.Step): steps.Step {
  const { state, context } = step;
  const isDue = context.now >= state.electionDeadline;
  if (state.role === states.Role.Leader || !isDue || !states.isVoter(state, state.self.replicaId)) {
    return step;
  }
  const asked = roles.resetDeadline(
    steps.withState(step, {
      role: states.Role.PreCandidate,
      leader: undefined,
      grants: immutable.Set([state.self.replicaId]),
    }),
  );
  return continueElection(askOthers(asked, message.MessageKind.PreVote));
}

/**
 * Grants a pre-vote only when no leader was heard for an election timeout, so that a replica that was
 * partitioned does not disturb a healthy leader when it returns.
 */
export function onPreVote(step: steps.Step, request: message.PreVote): steps.Step {
  const { state } = step;
  const proposedTerm = request.term + 1;
  const granted = proposedTerm > state.term && !hasLeader(step) && isUpToDate(state, request);
  return steps.send(step, request.from, {
    kind: message.MessageKind.PreVoteReply,
    proposedTerm,
    granted,
  });
}

export function onPreVoteReply(step: steps.Step, reply: message.PreVoteReply): steps.Step {
  const { state } = step;
  const isCurrent =
    state.role === states.Role.PreCandidate && reply.proposedTerm === state.term + 1;
  return isCurrent && reply.granted ? continueElection(grant(step, reply)) : step;
}

/** Grants at most one vote a term. The vote is on disk before the reply leaves. */
export function onVote(step: steps.Step, request: message.Vote): steps.Step {
  const { state } = step;
  const { replicaId } = request.from;
  const isFree = state.votedFor === undefined || state.votedFor === replicaId;
  const granted =
    request.term === state.term &&
    state.role !== states.Role.Leader &&
    isFree &&
    isUpToDate(state, request);
  const voted = granted
    ? roles.resetDeadline(steps.withState(step, { votedFor: replicaId }))
    : step;
  return steps.send(voted, request.from, { kind: message.MessageKind.VoteReply, granted });
}

export function onVoteReply(step: steps.Step, reply: message.VoteReply): steps.Step {
  const { state } = step;
  const isCurrent = state.role === states.Role.Candidate && reply.term === state.term;
  return isCurrent && reply.granted ? continueElection(grant(step, reply)) : step;
}

/** Starts an election without a pre-vote, because the leader asked for it. */
export function onElectNow(step: steps.Step, request: message.ElectNow): steps.Step {
  const { state } = step;
  const isFromLeader =
    request.term === state.term && request.from.replicaId === state.leader?.replicaId;
  const isVoter = states.isVoter(state, state.self.replicaId);
  return isFromLeader && isVoter ? continueElection(becomeCandidate(step)) : step;
}

/** Takes over a higher term: whatever this replica did in the old one is over. */
export function adoptTerm(step: steps.Step, term: number): steps.Step {
  const { state } = step;
  const next = steps.withState(step, { term, votedFor: undefined });
  return state.role === states.Role.Leader
    ? steps.report(roles.stepDown(next), effects.Notice.SteppedDown)
    : roles.stepDown(next);
}

function continueElection(step: steps.Step): steps.Step {
  const { state } = step;
  if (!states.isMajority(state, (replicaId) => state.grants.has(replicaId))) {
    return step;
  }
  return state.role === states.Role.PreCandidate
    ? continueElection(becomeCandidate(step))
    : replication.becomeLeader(step);
}

function becomeCandidate(step: steps.Step): steps.Step {
  const { state } = step;
  const next = steps.withState(step, {
    role: states.Role.Candidate,
    term: state.term + 1,
    votedFor: state.self.replicaId,
    leader: undefined,
    grants: immutable.Set([state.self.replicaId]),
  });
  return askOthers(roles.resetDeadline(next), message.MessageKind.Vote);
}

function askOthers(
  step: steps.Step,
  kind: message.MessageKind.PreVote | message.MessageKind.Vote,
): steps.Step {
  const { state } = step;
  const body = { kind, lastIndex: logs.lastIndex(state.log), lastTerm: logs.lastTerm(state.log) };
  return states
    .voters(state)
    .filter((voter) => voter.replicaId !== state.self.replicaId)
    .reduce((asked, voter) => steps.send(asked, voter, body), step);
}

function grant(step: steps.Step, reply: message.Envelope): steps.Step {
  return steps.withState(step, { grants: step.state.grants.add(reply.from.replicaId) });
}

function hasLeader(step: steps.Step): boolean {
  const { state, context } = step;
  const silence = context.now - state.leaderContactAt;
  return (
    state.role === states.Role.Leader || silence < state.parameters.electionTimeoutMilliseconds
  );
}

/** Whether the candidate's log holds at least everything that this replica's log holds. */
function isUpToDate(state: states.ReplicaState, request: message.PreVote | message.Vote): boolean {
  const ownTerm = logs.lastTerm(state.log);
  return (
    request.lastTerm > ownTerm ||
    (request.lastTerm === ownTerm && request.lastIndex >= logs.lastIndex(state.log))
  );
}
