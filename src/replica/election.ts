import * as immutable from 'immutable';
import * as effects from './effect';
import * as logs from './log';
import * as message from './message';
import * as replication from './replication';
import * as roles from './role';
import * as states from './state';
import * as steps from './step';

/** Starts or repeats a pre-vote when no message of a leader arrived until the deadline. */
export function onTick(step: steps.Step): steps.Step {
  const { state, context } = step;
  const isDue = context.now >= state.electionDeadline;
  if (state.role === states.Role.Leader || !isDue || !states.isVoter(state, state.self.replicaId)) {
    return step;
  }
  const requested = roles.resetDeadline(
    steps.withState(step, {
      role: states.Role.PreCandidate,
      leader: undefined,
      grants: immutable.Set([state.self.replicaId]),
    }),
  );
  return continueElection(requestVotes(requested, message.MessageKind.PreVote));
}

/**
 * Grants a pre-vote only when no message of a leader arrived for an election timeout, so that a replica that
 * returns from a partition does not depose a healthy leader.
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

/** Grants at most one vote per term. The vote is on disk before the reply is sent. */
export function onVote(step: steps.Step, request: message.Vote): steps.Step {
  const { state } = step;
  const { replicaId } = request.from;
  const isVoteAvailable = state.votedFor === undefined || state.votedFor === replicaId;
  const granted =
    request.term === state.term &&
    state.role !== states.Role.Leader &&
    isVoteAvailable &&
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

/** Starts an election without a pre-vote, because the leader requested it. */
export function onElectNow(step: steps.Step, request: message.ElectNow): steps.Step {
  const { state } = step;
  const isFromLeader =
    request.term === state.term && request.from.replicaId === state.leader?.replicaId;
  const isVoter = states.isVoter(state, state.self.replicaId);
  return isFromLeader && isVoter ? continueElection(becomeCandidate(step)) : step;
}

/** Adopts a higher term; the vote and the role of the old term end. */
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
  return requestVotes(roles.resetDeadline(next), message.MessageKind.Vote);
}

function requestVotes(
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
  const elapsed = context.now - state.leaderContactAt;
  return (
    state.role === states.Role.Leader || elapsed < state.parameters.electionTimeoutMilliseconds
  );
}

/** Whether the candidate's log is at least as up to date as that of this replica. */
function isUpToDate(state: states.ReplicaState, request: message.PreVote | message.Vote): boolean {
  const ownTerm = logs.lastTerm(state.log);
  return (
    request.lastTerm > ownTerm ||
    (request.lastTerm === ownTerm && request.lastIndex >= logs.lastIndex(state.log))
  );
}
