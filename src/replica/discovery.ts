import * as effects from './effect';
import * as formations from './formation';
import * as message from './message';
import * as states from './state';
import * as steps from './step';

const SEARCHING_ROLES = new Set([states.Role.Learner, states.Role.PreCandidate]);

/**
 * A replica that receives nothing from a leader asks the initial replicas and the voters that it knows for the
 * log: a learner, and a voter that wins no election. While that one was stopped, all the voters of its log may have been
 * replaced, and none of them need be the leader. So it also asks the leader that other daemons report.
 */
export function onTick(step: steps.Step, leaderAddress?: string): steps.Step {
  const { state, context } = step;
  const { discoverMilliseconds, electionTimeoutMilliseconds } = state.parameters;
  const isFollowing = context.now - state.leaderContactAt < electionTimeoutMilliseconds;
  if (!SEARCHING_ROLES.has(state.role) || isFollowing) {
    return step;
  }
  if (context.now < state.nextDiscoverAt) {
    return formations.attemptIfAgreed(step);
  }
  const next = steps.withState(step, { nextDiscoverAt: context.now + discoverMilliseconds });
  const asked = addressesToAsk(state, leaderAddress).reduce(ask, next);
  return formations.attemptIfAgreed(asked);
}

export function onDiscover(step: steps.Step, request: message.Discover): steps.Step {
  const sameReplicas = isSame(request.replicas, step.state.replicas);
  const reported = sameReplicas
    ? step
    : steps.report(step, effects.Notice.ReplicasDiffer, request.from.address);
  return steps.send(reported, request.from, {
    kind: message.MessageKind.DiscoverReply,
    empty: states.isEmpty(step.state),
    sameReplicas,
  });
}

export function onDiscoverReply(step: steps.Step, reply: message.DiscoverReply): steps.Step {
  const { state, context } = step;
  const answer = {
    member: reply.from,
    empty: reply.empty,
    sameReplicas: reply.sameReplicas,
    receivedAt: context.now,
  };
  const answers = state.answers.set(reply.from.address, answer);
  return formations.attemptIfAgreed(steps.withState(step, { answers }));
}

function ask(step: steps.Step, address: string): steps.Step {
  const joined = steps.sendToAddress(step, address, { kind: message.MessageKind.Join });
  const { state } = joined;
  return states.isEmpty(state) && state.replicas.includes(address)
    ? steps.sendToAddress(joined, address, {
        kind: message.MessageKind.Discover,
        replicas: state.replicas,
      })
    : joined;
}

function addressesToAsk(state: states.ReplicaState, leaderAddress?: string): string[] {
  const members = states.voters(state).map((voter) => voter.address);
  const reported = leaderAddress === undefined ? [] : [leaderAddress];
  return [...new Set([...state.replicas, ...members, ...reported])].filter(
    (address) => address !== state.self.address,
  );
}

function isSame(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((value, index) => value === right[index]);
}
