import * as immutable from 'immutable';
import * as effects from './effect';
import * as entry from './entry';
import * as message from './message';
import * as replication from './replication';
import * as roles from './role';
import * as states from './state';
import * as steps from './step';

// An attempt starts only from recent answers, because a replica may lose its disk, and with it its id, after it
// has answered. An answer only prevents attempts that would fail: what permits a group are the votes.
const ANSWER_LIFETIME_MILLISECONDS = 2_000;

/**
 * Starts an election for the first leader of the group when every initial replica has recently answered that it has
 * never been in one. The replica with the lowest address starts at once, and the others after an election timeout, so that
 * one of them forms the group if the first one cannot. Each request is sent once: the next attempt has a higher term.
 *
 * @example
 * attemptIfAgreed(step); // sends `Vote` for the next term to every other initial replica
 */
export function attemptIfAgreed(step: steps.Step): steps.Step {
  const noted = noteAgreement(step);
  const { state, context } = noted;
  const isFirst = state.term === 0 && state.replicas[0] === state.self.address;
  const isDue = isFirst || context.now >= state.electionDeadline;
  return state.isAgreed && isDue ? attempt(noted) : noted;
}

/** The timeout begins with the agreement, so that the replica with the lowest address is not hindered. */
function noteAgreement(step: steps.Step): steps.Step {
  const isAgreed = mayForm(step.state) && areAllEmpty(step);
  if (isAgreed === step.state.isAgreed) {
    return step;
  }
  const noted = steps.withState(step, { isAgreed });
  return isAgreed ? roles.resetDeadline(noted) : noted;
}

/**
 * Forms the group once every initial replica has granted its vote in the same term. All of them are needed, since one
 * whose disk was lost has forgotten its earlier votes and the log that it acknowledged. With all of them, each that still
 * has its disk confirms that it has no entry, and it refuses entries of leaders of earlier terms from then on.
 */
export function onVoteReply(step: steps.Step, reply: message.VoteReply): steps.Step {
  const { state, context } = step;
  const { formation } = state;
  const isCurrent =
    formation !== undefined &&
    formation.term === state.term &&
    reply.term === state.term &&
    context.now < formation.endsAt;
  if (!isCurrent || !reply.granted || !mayForm(state)) {
    return step;
  }
  const grants = formation.grants.set(reply.from.address, reply.from);
  return formIfGranted(steps.withState(step, { formation: { ...formation, grants } }));
}

/** Whether a replica without any entry asks for the vote: it wants to form a group. */
export function isFounder(received: message.Message): boolean {
  return received.kind === message.MessageKind.Vote && received.lastIndex === 0;
}

function mayForm(state: states.ReplicaState): boolean {
  return (
    state.mayBootstrap &&
    states.isEmpty(state) &&
    state.role === states.Role.Learner &&
    state.replicas.includes(state.self.address)
  );
}

/** An initial replica that does not answer may belong to an existing group. */
function areAllEmpty({ state, context }: steps.Step): boolean {
  return otherReplicas(state).every((address) => {
    const answer = state.answers.get(address);
    return (
      answer !== undefined &&
      answer.empty &&
      answer.sameReplicas &&
      context.now - answer.receivedAt < ANSWER_LIFETIME_MILLISECONDS
    );
  });
}

function attempt(step: steps.Step): steps.Step {
  const started = roles.resetDeadline(step);
  const { self, term: earlierTerm, electionDeadline } = started.state;
  const term = earlierTerm + 1;
  const next = steps.withState(started, {
    term,
    votedFor: self.replicaId,
    formation: { term, endsAt: electionDeadline, grants: immutable.Map() },
  });
  const body = { kind: message.MessageKind.Vote as const, lastIndex: 0, lastTerm: 0 };
  const asked = otherReplicas(next.state).reduce(
    (sent, address) => steps.sendToAddress(sent, address, body),
    next,
  );
  return formIfGranted(asked);
}

function formIfGranted(step: steps.Step): steps.Step {
  const { state } = step;
  const granted = otherReplicas(state).flatMap(
    (address) => state.formation?.grants.get(address) ?? [],
  );
  const voters = [state.self, ...granted];
  return voters.length === state.replicas.length ? form(step, voters) : step;
}

function form(step: steps.Step, voters: readonly entry.Member[]): steps.Step {
  const { state, context } = step;
  const first = {
    index: 1,
    term: state.term,
    timestamp: context.wallClock,
    kind: entry.EntryKind.Group,
    group: { voters },
  };
  const formed = steps.withState(steps.replaceLog(step, 0, [first]), {
    answers: immutable.Map(),
    formation: undefined,
  });
  const list = voters.map((voter) => voter.address).join(', ');
  const reported = steps.report(formed, effects.Notice.GroupBootstrapped, list);
  return replication.becomeLeader(roles.refreshRole(reported));
}

function otherReplicas({ replicas, self }: states.ReplicaState): readonly string[] {
  return replicas.filter((address) => address !== self.address);
}
