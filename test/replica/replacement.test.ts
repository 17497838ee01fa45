import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as replica from '../../src/replica';
import * as builder from './replica-builder';

const suite = uvu.suite('replacement of a voter');
const { MessageKind } = replica;
const [, FOLLOWER, LOST] = builder.MEMBERS;
const { REPLACEMENT } = builder;
const TERM = 3;

function appendReply(matchIndex: number): replica.Body {
  return { kind: MessageKind.AppendReply, success: true, matchIndex, heartbeat: false };
}

/** The leader `a` of the group a, b and c; `b` has every entry, and `d` asks to join. */
function leaderWithLearner(): builder.ReplicaBuilder {
  const leader = builder.ReplicaBuilder.inGroup(0, TERM - 1, []).elect(1);
  leader.receiveFrom(FOLLOWER, TERM, appendReply(2));
  return leader.receiveFrom(REPLACEMENT, 0, { kind: MessageKind.Join });
}

function voterIds(leader: builder.ReplicaBuilder): string {
  return replica
    .voters(leader.state)
    .map((voter) => voter.replicaId)
    .join('');
}

function committedIds(leader: builder.ReplicaBuilder): string {
  return replica
    .committedVoters(leader.state)
    .map((voter) => voter.replicaId)
    .join('');
}

/** The voters of the changes that the last event has logged as committed. */
function committedGroups(leader: builder.ReplicaBuilder): (string | undefined)[] {
  return leader.effects.flatMap((effect) =>
    effect.kind === replica.EffectKind.Report && effect.notice === replica.Notice.GroupCommitted
      ? [effect.detail]
      : [],
  );
}

/** The addresses of the voters that are left without the lost one. */
const REMAINING = '10.0.0.0:7000, 10.0.0.1:7000';

/** Guards against a voter without the log, and against two changes whose majorities do not overlap. */
suite(
  'a lost id is removed once a learner has caught up, and only then the learner is added',
  () => {
    const leader = leaderWithLearner().pass([FOLLOWER, REPLACEMENT]);
    assert.is(voterIds(leader), 'abc');
    leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
    assert.is(voterIds(leader), 'ab');
    leader.receiveFrom(REPLACEMENT, TERM, appendReply(3)).pass([FOLLOWER, REPLACEMENT]);
    assert.is(voterIds(leader), 'ab', 'second change before the first is committed by two voters');
    leader.receiveFrom(FOLLOWER, TERM, appendReply(3));
    leader.receiveFrom(REPLACEMENT, TERM, appendReply(3));
    assert.is(voterIds(leader), 'abd');
  },
);

/**
 * Guards against an operator, or a test, that replaces the next VM while a change of voters can still be
 * lost.
 */
suite('the reported voters are the committed ones', () => {
  const leader = leaderWithLearner().pass([FOLLOWER, REPLACEMENT]);
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  assert.is(committedIds(leader), 'abc');
  leader.receiveFrom(FOLLOWER, TERM, appendReply(3));
  assert.is(committedIds(leader), 'ab');
});

/** Guards against a log that names a change of voters complete while its leader can still take it along. */
suite('a change of voters is logged as committed once a majority has it', () => {
  const leader = leaderWithLearner().pass([FOLLOWER, REPLACEMENT]);
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  assert.equal(committedGroups(leader), []);
  leader.receiveFrom(FOLLOWER, TERM, appendReply(3));
  assert.equal(committedGroups(leader), [REMAINING]);
});

/** Guards against a log that lacks a change which the leader after the one that began it commits. */
suite('a new leader logs the change of voters that it commits', () => {
  const entries = [1, 2].map((index) => ({
    index,
    term: 1,
    timestamp: index,
    kind: replica.EntryKind.Group,
    group: index === 1 ? builder.GROUP : { voters: builder.MEMBERS.slice(0, 2) },
  }));
  const durable = { hardState: { term: TERM - 1 }, entries };
  const leader = new builder.ReplicaBuilder(0, durable).elect(1);
  assert.equal(committedGroups(leader), []);
  leader.receiveFrom(FOLLOWER, TERM, appendReply(3));
  assert.equal(committedGroups(leader), [REMAINING]);
});

/** Guards against a group of four voters that the loss of two disks of the same VM blocks. */
suite('a learner whose disk is lost before its addition commits blocks nothing', () => {
  const leader = leaderWithLearner().pass([FOLLOWER, REPLACEMENT]);
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  leader.propose().receiveFrom(FOLLOWER, TERM, appendReply(4));
  assert.is(leader.state.commitIndex, 4);
});

/** Guards against a replacement that is not completed when the leader that removed the voter is gone. */
suite('a new leader adds the learner for which a voter was removed', () => {
  const group = { voters: builder.MEMBERS.slice(0, 2), awaited: [REPLACEMENT.address] };
  const snapshot = { index: 1, term: 1, timestamp: 1, group, data: Buffer.alloc(0) };
  const durable = { hardState: { term: TERM - 1 }, snapshot, entries: [] };
  const leader = new builder.ReplicaBuilder(0, durable).elect(1);
  leader.receiveFrom(FOLLOWER, TERM, appendReply(2));
  const unrelatedLearner = { replicaId: 'e', address: '10.0.0.9:7000' };
  leader.receiveFrom(unrelatedLearner, 0, { kind: MessageKind.Join });
  leader.receiveFrom(unrelatedLearner, TERM, appendReply(2));
  assert.is(voterIds(leader), 'ab');
  leader.receiveFrom(REPLACEMENT, 0, { kind: MessageKind.Join });
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  assert.is(voterIds(leader), 'abd');
  assert.equal(replica.pendingVoterAddresses(leader.state), []);
});

/** Guards against a replica that was removed during a partition and never joins again. */
suite('a removed voter that starts an election is sent the log', () => {
  const leader = leaderWithLearner();
  const removed = { replicaId: 'z', address: '10.0.0.8:7000' };
  const body = { kind: MessageKind.PreVote, lastIndex: 1, lastTerm: 1 } as const;
  leader.receiveFrom(removed, TERM, body);
  const [append] = leader.sent(MessageKind.Append);
  assert.is(append.toId, 'z');
});

/** Guards against replacing a healthy voter when two daemons are given one address. */
suite('a reachable voter is not replaced', () => {
  const leader = leaderWithLearner().pass([FOLLOWER, LOST, REPLACEMENT]);
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2)).pass([FOLLOWER, LOST, REPLACEMENT]);
  assert.is(voterIds(leader), 'abc');
});

/** Guards against a group of four of which only two are alive, which could commit nothing any more. */
suite('a learner is not added while the larger group would have no majority', () => {
  const leader = leaderWithLearner();
  // No tick has yet detected that the other voters are silent.
  leader.now += leader.state.parameters.electionTimeoutMilliseconds;
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  assert.is(leader.state.role, replica.Role.Leader);
  assert.is(voterIds(leader), 'abc');
});

/** Guards against a change that a leader of an older term can undo (correction of July 2015 to Raft). */
suite('no change of voters before an entry of the current term is committed', () => {
  const snapshot = { index: 1, term: 1, timestamp: 1, group: builder.GROUP, data: Buffer.alloc(0) };
  const durable = { hardState: { term: TERM - 1 }, snapshot, entries: [] };
  const leader = new builder.ReplicaBuilder(0, durable).elect(1);
  leader.receiveFrom(REPLACEMENT, 0, { kind: MessageKind.Join }).pass([FOLLOWER, REPLACEMENT]);
  leader.receiveFrom(REPLACEMENT, TERM, appendReply(2));
  assert.is(voterIds(leader), 'abc');
  leader.receiveFrom(FOLLOWER, TERM, appendReply(2)).tick(10);
  assert.is(voterIds(leader), 'ab');
});

const NEWCOMER = { replicaId: 'e', address: '10.0.0.9:7000' };

/** A leader that may replace voters by replicas at other addresses. */
function leaderWithNewcomer(parameters: Partial<replica.Parameters>): builder.ReplicaBuilder {
  const leader = builder.ReplicaBuilder.inGroup(0, TERM - 1, []).elect(1);
  leader.state = { ...leader.state, parameters: { ...leader.state.parameters, ...parameters } };
  leader.receiveFrom(FOLLOWER, TERM, appendReply(2));
  return leader.receiveFrom(NEWCOMER, 0, { kind: MessageKind.Join });
}

/** Guards against a group that stays one voter short after a VM was replaced at another address. */
suite('a learner at another address replaces a voter that stays silent', () => {
  const leader = leaderWithNewcomer({ targetVoters: 3, replaceMilliseconds: 2_000 });
  leader.receiveFrom(NEWCOMER, TERM, appendReply(2)).pass([FOLLOWER, NEWCOMER]);
  assert.is(voterIds(leader), 'abc', 'a voter that restarts is back within this time');
  leader.receiveFrom(NEWCOMER, TERM, appendReply(2)).pass([FOLLOWER, NEWCOMER]);
  leader.receiveFrom(NEWCOMER, TERM, appendReply(2));
  assert.is(voterIds(leader), 'ab');
  leader.receiveFrom(FOLLOWER, TERM, appendReply(3));
  leader.receiveFrom(NEWCOMER, TERM, appendReply(3)).tick(10);
  assert.is(voterIds(leader), 'abe');
});

suite('learners become voters until the target number of voters is reached', () => {
  const leader = leaderWithNewcomer({ targetVoters: 5 });
  leader.receiveFrom(NEWCOMER, TERM, appendReply(2)).tick(10);
  assert.is(voterIds(leader), 'abce');
});

/** Guards against a second group beside the first one after disks were lost. */
suite('a replica that may not bootstrap a group only joins one', () => {
  const empty = new builder.ReplicaBuilder(0);
  empty.state = { ...empty.state, mayBootstrap: false };
  empty.tick(10).findEmpty([1, 2]).tick(5_000).findEmpty([1, 2]);
  assert.is(empty.state.term, 0);
  assert.is(voterIds(empty.receiveVote(1).receiveVote(2)), '');
  const first = new builder.ReplicaBuilder(0).tick(10).findEmpty([1, 2]);
  assert.is(voterIds(first.receiveVote(1).receiveVote(2)), 'abc');
});

/** Guards against a replaced voter that asks only voters of its own log, none of which leads any more. */
suite('a voter that wins no election asks for the log as a learner does', () => {
  const voter = builder.ReplicaBuilder.inGroup(2, TERM, []).tick(5_000);
  assert.is(voter.state.role, replica.Role.PreCandidate);
  const asked = voter.tick(250).sent(MessageKind.Join);
  const others = builder.MEMBERS.slice(0, 2);
  assert.equal(
    asked.map(({ toAddress }) => toAddress),
    others.map(({ address }) => address),
  );
});

suite.run();
