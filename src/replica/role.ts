import * as immutable from 'immutable';
import type * as entry from './entry';
import * as states from './state';
import * as steps from './step';

/** Becomes a follower, or a learner if it is no voter of the group. */
export function stepDown(step: steps.Step): steps.Step {
  const { state } = step;
  const isVoter = states.isVoter(state, state.self.replicaId);
  const next = steps.withState(step, {
    role: isVoter ? states.Role.Follower : states.Role.Learner,
    leader: undefined,
    grants: immutable.Set(),
    progress: immutable.Map(),
  });
  return state.role === states.Role.Leader ? resetDeadline(next) : next;
}

/** Recognises the sender as the leader of the current term. */
export function follow(step: steps.Step, leader: entry.Member): steps.Step {
  const { state, context } = step;
  const isFollowing = state.role === states.Role.Follower || state.role === states.Role.Learner;
  const following = isFollowing ? step : stepDown(step);
  const followed = steps.withState(following, { leader, leaderContactAt: context.now });
  return resetDeadline(followed);
}

/** A replica becomes a voter, or stops being one, with the group entry in its log. */
export function refreshRole(step: steps.Step): steps.Step {
  const { state } = step;
  if (state.role !== states.Role.Learner && state.role !== states.Role.Follower) {
    return step;
  }
  const isVoter = states.isVoter(state, state.self.replicaId);
  return steps.withState(step, { role: isVoter ? states.Role.Follower : states.Role.Learner });
}

/** Chooses the next election timeout at random, so that two replicas rarely become candidates at once. */
export function resetDeadline(step: steps.Step): steps.Step {
  const { electionTimeoutMilliseconds } = step.state.parameters;
  const timeout = electionTimeoutMilliseconds * (1 + step.context.random);
  return steps.withState(step, { electionDeadline: step.context.now + timeout });
}
