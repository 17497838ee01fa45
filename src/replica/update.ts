import * as transaction from '../transaction';
import * as discovery from './discovery';
import * as effects from './effect';
import * as election from './election';
import * as events from './event';
import * as formations from './formation';
import * as logs from './log';
import * as membershipChange from './membership-change';
import * as message from './message';
import * as replication from './replication';
import * as roles from './role';
import * as snapshotting from './snapshotting';
import * as states from './state';
import * as steps from './step';

/**
 * Advances one replica by one event. The adapter carries out the effects in order and syncs a `Persist`
 * before it continues with the next one.
 *
 * @example
 * const { state, effects } = update(replica, { kind: EventKind.Tick, now, wallClock, random });
 */
export function update(
  state: states.ReplicaState,
  event: events.ReplicaEvent,
): transaction.Transaction<states.ReplicaState, effects.ReplicaEffect> {
  const step = steps.start(state, event);
  if (state.role === states.Role.Stopped) {
    return steps.finish(state, rejectProposals(step, event));
  }
  return steps.finish(state, dispatch(step, event));
}

function dispatch(step: steps.Step, event: events.ReplicaEvent): steps.Step {
  switch (event.kind) {
    case events.EventKind.Tick:
      return [
        replication.onTick,
        membershipChange.advance,
        election.onTick,
        (next: steps.Step) => discovery.onTick(next, event.leaderAddress),
      ].reduce((next, handler) => handler(next), step);
    case events.EventKind.Receive:
      return receive(step, event.message);
    case events.EventKind.Propose:
      return replication.onPropose(step, event);
    case events.EventKind.SnapshotTaken:
      return snapshotting.onSnapshotTaken(step, event);
    case events.EventKind.Resign:
      return resign(step);
    default:
      return steps.withState(roles.stepDown(step), { role: states.Role.Stopped });
  }
}

/** Handles a message after comparing its term with that of this replica. */
function receive(step: steps.Step, received: message.Message): steps.Step {
  const { state } = step;
  if (received.toId !== undefined && received.toId !== state.self.replicaId) {
    return step;
  }
  // The vote would be refused, and a late request must not end the term of a group that was formed meanwhile.
  if (formations.isFounder(received) && !states.isEmpty(state)) {
    return step;
  }
  const isNewTerm = TERM_KINDS.has(received.kind) && received.term > state.term;
  const current = isNewTerm ? election.adoptTerm(step, received.term) : step;
  switch (received.kind) {
    case message.MessageKind.PreVote:
      return membershipChange.onJoin(election.onPreVote(current, received), received);
    case message.MessageKind.PreVoteReply:
      return election.onPreVoteReply(current, received);
    case message.MessageKind.Vote:
      return election.onVote(current, received);
    case message.MessageKind.VoteReply:
      return formations.onVoteReply(election.onVoteReply(current, received), received);
    case message.MessageKind.Append:
      return replication.onAppend(current, received);
    case message.MessageKind.AppendReply:
      return membershipChange.advance(replication.onAppendReply(current, received));
    case message.MessageKind.Snapshot:
      return snapshotting.onChunk(current, received);
    case message.MessageKind.SnapshotReply:
      return snapshotting.onChunkReply(current, received);
    case message.MessageKind.Discover:
      return discovery.onDiscover(current, received);
    case message.MessageKind.DiscoverReply:
      return discovery.onDiscoverReply(current, received);
    case message.MessageKind.Join:
      return membershipChange.onJoin(current, received);
    default:
      return election.onElectNow(current, received);
  }
}

/**
 * Messages whose higher term is adopted. A pre-vote only asks about a term, and a learner may have received a
 * higher term than that of the group that it wants to join.
 */
const TERM_KINDS = new Set([
  message.MessageKind.PreVoteReply,
  message.MessageKind.Vote,
  message.MessageKind.VoteReply,
  message.MessageKind.Append,
  message.MessageKind.AppendReply,
  message.MessageKind.Snapshot,
  message.MessageKind.SnapshotReply,
  message.MessageKind.ElectNow,
]);

/** Transfers the leadership to a follower that has the whole log, before a planned stop. */
function resign(step: steps.Step): steps.Step {
  const { state } = step;
  if (state.role !== states.Role.Leader) {
    return step;
  }
  const [successor] = [...state.progress.values()]
    .filter(({ member }) => member.replicaId !== state.self.replicaId)
    .filter(({ member }) => states.isVoter(state, member.replicaId))
    .filter(({ matchIndex }) => matchIndex === logs.lastIndex(state.log))
    .sort((left, right) => right.lastContactAt - left.lastContactAt);
  const asked =
    successor === undefined
      ? step
      : steps.send(step, successor.member, { kind: message.MessageKind.ElectNow });
  return roles.stepDown(asked);
}

function rejectProposals(step: steps.Step, event: events.ReplicaEvent): steps.Step {
  const proposals = event.kind === events.EventKind.Propose ? event.proposals : [];
  return proposals.reduce(
    (next, { proposalId }) => steps.emit(next, { kind: effects.EffectKind.Reject, proposalId }),
    step,
  );
}
