import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as replica from '../../src/replica';
import * as firstStart from './first-start';
import * as builder from './replica-builder';

const suite = uvu.suite('formation of the replica group');
const { MessageKind } = replica;

const ELECTION_TIMEOUT_MILLISECONDS = replica.DEFAULT_PARAMETERS.electionTimeoutMilliseconds;

/** A replica that may form the group, without the lowest address, and that has waited for the one that has it. */
function founder(index = 1): builder.ReplicaBuilder {
  const others = [0, 1, 2].filter((other) => other !== index);
  return new builder.ReplicaBuilder(index)
    .tick(2 * ELECTION_TIMEOUT_MILLISECONDS)
    .findEmpty(others)
    .tick(ELECTION_TIMEOUT_MILLISECONDS);
}

function voteOf(term: number, from = 0): (target: builder.ReplicaBuilder) => replica.VoteReply {
  return (target) => {
    target.receive(from, term, { kind: MessageKind.Vote, lastIndex: 0, lastTerm: 0 });
    return target.sent(MessageKind.VoteReply)[0] as replica.VoteReply;
  };
}

// Guards against a first start in which the one replica that may form the group is killed and restarted without this right.
suite('another replica forms the group if the one with the lowest address cannot', () => {
  const second = founder().receiveVote(0);
  assert.ok(replica.isEmpty(second.state));
  second.receiveVote(2);
  assert.is(second.state.role, replica.Role.Leader);
  assert.equal(
    replica.voters(second.state).map(({ replicaId }) => replicaId),
    ['b', 'a', 'c'],
  );
});

// Guards against several replicas that hinder each other at each first start.
suite('only the replica with the lowest address asks for votes at once', () => {
  const second = new builder.ReplicaBuilder(1).tick(2 * ELECTION_TIMEOUT_MILLISECONDS);
  second.findEmpty([0, 2]).tick(ELECTION_TIMEOUT_MILLISECONDS - 1);
  assert.is(second.state.term, 0);
  assert.is(second.tick(1).sent(MessageKind.Vote).length, 2);
  const first = new builder.ReplicaBuilder(0).tick(10).findEmpty([1, 2]);
  assert.is(first.sent(MessageKind.Vote).length, 2);
});

// Guards against two groups that two replicas form at once, each with the vote of the third.
suite('a replica votes for one founder in a term, also after a restart', () => {
  const third = new builder.ReplicaBuilder(2);
  assert.is(voteOf(1, 0)(third).granted, true);
  assert.equal(
    third.effects.map(({ kind }) => kind),
    [replica.EffectKind.Persist, replica.EffectKind.Send],
  );
  const [persist] = third.effects as readonly replica.Persist[];
  const durable = { ...replica.EMPTY_DURABLE_STATE, hardState: persist.hardState! };
  const restarted = new builder.ReplicaBuilder(2, durable);
  assert.is(voteOf(1, 1)(restarted).granted, false);
});

// Guards against a group that forgets what a replica has acknowledged, whose leader's disk is lost right after it.
suite('a replica that has an entry grants no founder its vote, and keeps its term', () => {
  const survivor = builder.ReplicaBuilder.inGroup(1, 1, []);
  survivor.receive(0, 7, { kind: MessageKind.Vote, lastIndex: 0, lastTerm: 0 });
  assert.equal([survivor.sent(MessageKind.VoteReply).length, survivor.state.term], [0, 1]);
});

// Guards against an acknowledgement for the leader of an earlier formation, after the vote for another one.
suite('a replica that voted for a founder takes no entry of an earlier one', () => {
  const third = new builder.ReplicaBuilder(2);
  assert.is(voteOf(2, 1)(third).granted, true);
  const kind = replica.EntryKind.Group;
  const first = { index: 1, term: 1, timestamp: 1, kind, group: builder.GROUP };
  const previous = { previousIndex: 0, previousTerm: 0 };
  third.receive(0, 1, { kind: MessageKind.Append, ...previous, entries: [first], commitIndex: 1 });
  assert.ok(replica.isEmpty(third.state));
});

// Guards against votes that are counted together although one of them is from a disk that was lost since.
suite('votes of an earlier attempt, late ones and those before a restart count no more', () => {
  const late = founder().receiveVote(0);
  late.now += ELECTION_TIMEOUT_MILLISECONDS;
  assert.ok(replica.isEmpty(late.receiveVote(2).state));
  const repeated = founder().receiveVote(0).findEmpty([0, 2]).tick(ELECTION_TIMEOUT_MILLISECONDS);
  assert.is(repeated.state.term, 2);
  repeated.receive(0, 1, { kind: MessageKind.VoteReply, granted: true }).receiveVote(2);
  assert.ok(replica.isEmpty(repeated.state));
  const hardState = { term: 1, votedFor: 'b' };
  const restarted = new builder.ReplicaBuilder(1, { hardState, entries: [] });
  restarted.receiveVote(0).receiveVote(2);
  assert.ok(replica.isEmpty(restarted.state));
});

// Guards against an attempt that lasts longer each time that a replica answers anew.
suite('a new agreement does not prolong an attempt', () => {
  const second = founder().receiveVote(0);
  second.now += ELECTION_TIMEOUT_MILLISECONDS - 1;
  second.receive(2, 0, { kind: MessageKind.DiscoverReply, empty: false, sameReplicas: true });
  second.findEmpty([0, 2]);
  second.now += 1;
  assert.ok(replica.isEmpty(second.receiveVote(2).state));
});

// Guards against a founder that goes on with its attempt after it has voted for another one.
suite('a founder that votes for another one gives up its own attempt', () => {
  const second = founder().receiveVote(0);
  assert.is(voteOf(2, 2)(second).granted, true);
  second.receive(2, 1, { kind: MessageKind.VoteReply, granted: true }).receiveVote(2);
  assert.ok(replica.isEmpty(second.state));
});

function seeds(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

const HISTORIES = Number(process.env.FIGLINE_PROPERTY_RUNS ?? 400);

// Guards against a first start that leaves no group or two, and against a group that forgets what was acknowledged.
suite('after kills, a lost disk and lost messages in the first start there is one group', () => {
  const failures = seeds(HISTORIES).flatMap((seed) => {
    const history = firstStart.historyOf(new clock.SeededRandomSource(seed));
    const fault = firstStart.play(history, replica.update);
    return fault === undefined ? [] : [`seed ${seed}: ${fault}: ${JSON.stringify(history)}`];
  });
  assert.is(failures.length, 0, `${failures.length} failed; ${failures.slice(0, 3).join('\n')}`);
});

/** A replica that forgets for whom it voted when a founder asks it. */
function updateWithoutVotes(
  state: replica.ReplicaState,
  event: replica.ReplicaEvent,
): ReturnType<typeof replica.update> {
  const isVote =
    event.kind === replica.EventKind.Receive && event.message.kind === MessageKind.Vote;
  return replica.update(isVote ? { ...state, votedFor: undefined } : state, event);
}

// Guards against histories in which a broken rule would not be noticed.
suite('the histories notice two votes of one replica in a term', () => {
  const faults = seeds(HISTORIES / 4).map((seed) => {
    const history = firstStart.historyOf(new clock.SeededRandomSource(seed));
    return firstStart.play(history, updateWithoutVotes);
  });
  assert.ok(faults.some((fault) => fault?.startsWith('two leaders in term')));
});

suite.run();
