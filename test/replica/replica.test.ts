import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as replica from '../../src/replica';
import * as builder from './replica-builder';

const suite = uvu.suite('replica');
const { MessageKind, EffectKind, Role } = replica;

function discoverReply(empty: boolean, sameReplicas = true): replica.Body {
  return { kind: MessageKind.DiscoverReply, empty, sameReplicas };
}

function appendReply(matchIndex: number): replica.Body {
  return { kind: MessageKind.AppendReply, success: true, matchIndex, heartbeat: false };
}

/** Guards against losing an entry that was counted as committed (figure 8 of the Raft paper). */
suite('an entry of an earlier term is committed only through one of the current term', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 3, [2]).elect(1);
  assert.is(leader.state.role, Role.Leader);
  leader.receive(1, 4, appendReply(2));
  assert.is(leader.state.commitIndex, 0);
  leader.receive(1, 4, appendReply(3));
  assert.is(leader.state.commitIndex, 3);
});

/** Guards against acknowledging a write that is not on disk. */
suite('all changes are persisted before a message is sent', () => {
  const follower = builder.ReplicaBuilder.inGroup(1, 2, []);
  follower.receive(0, 3, {
    kind: MessageKind.Append,
    previousIndex: 1,
    previousTerm: 1,
    entries: [builder.entry(2, 3)],
    commitIndex: 1,
  });
  assert.equal(
    follower.effects.map((effect) => effect.kind),
    [EffectKind.Persist, EffectKind.Send, EffectKind.Apply],
  );
});

/** Guards against a replica that returns from a partition and ends a healthy leader's term. */
suite('a pre-vote is refused while messages of a leader arrive, and changes no state', () => {
  const follower = builder.ReplicaBuilder.inGroup(1, 2, []);
  const heartbeat = { previousIndex: 1, previousTerm: 1, entries: [], commitIndex: 1 };
  follower.receive(0, 2, { kind: MessageKind.Append, ...heartbeat });
  const before = follower.state;
  follower.receive(2, 9, { kind: MessageKind.PreVote, lastIndex: 50, lastTerm: 9 });
  const [reply] = follower.sent(MessageKind.PreVoteReply) as replica.PreVoteReply[];
  assert.is(reply.granted, false);
  assert.is(follower.state, before);
});

/** Guards against a partitioned leader that continues to act as the leader. */
suite('a leader without answers of a majority for an election timeout steps down', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 2, []).elect(1);
  leader.tick(400);
  assert.is(leader.state.role, Role.Leader);
  leader.tick(200);
  assert.is(leader.state.role, Role.Follower);
  leader.propose();
  assert.is(leader.effects[0].kind, EffectKind.Reject);
});

/** Guards against a memory and a disk that fill with old entries while large documents change often. */
suite('after a snapshot few entries stay in the log if they are large', () => {
  const follower = builder.ReplicaBuilder.inGroup(1, 2, []);
  const data = new Uint8Array(replica.DEFAULT_PARAMETERS.trailingBytes / 4);
  const entries = Array.from({ length: 20 }, (_, position) => ({
    ...builder.entry(position + 2, 2),
    data,
  }));
  const previous = { previousIndex: 1, previousTerm: 1 };
  follower.receive(0, 2, { kind: MessageKind.Append, ...previous, entries, commitIndex: 21 });
  const taken = { index: 21, data: new Uint8Array(1) };
  follower.feed({ kind: replica.EventKind.SnapshotTaken, ...taken, ...follower.context() });
  assert.is(follower.state.snapshot?.index, 21);
  assert.is(follower.state.log.entries.size, 4);
});

/** Guards against orders of a paused leader that counts old answers as new when it resumes. */
suite('the lease starts when the answered message was sent, and needs a majority', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 2, []).elect(1);
  assert.is(replica.leaseRemaining(leader.state, leader.now), 0);
  const leaderTime = leader.now;
  leader.tick(150).receive(1, 3, { ...appendReply(2), leaderTime } as replica.Body);
  assert.is(replica.leaseRemaining(leader.state, leader.now), 250);
  leader.tick(300).receive(1, 3, { ...appendReply(2), leaderTime } as replica.Body);
  assert.is(leader.state.role, Role.Leader);
  assert.is(replica.leaseRemaining(leader.state, leader.now), 0);
});

/** Guards against orders of a leader that was suspended while the others elected another one. */
suite('answers to messages from before a suspension give no lease after it', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 2, []).elect(1);
  const leaderTime = leader.now;
  leader.tick(150).receive(1, 3, { ...appendReply(2), leaderTime } as replica.Body);
  assert.is(replica.leaseRemaining(leader.state, leader.now, leaderTime), 250);
  assert.is(replica.leaseRemaining(leader.state, leader.now, leaderTime + 1), 0);
});

/** Guards against a vote by a replica whose disk cannot keep it. */
suite('a replica whose storage failed sends nothing any more', () => {
  const follower = builder.ReplicaBuilder.inGroup(1, 2, []);
  follower.feed({ kind: replica.EventKind.StorageFailed, ...follower.context() });
  follower.receive(0, 9, { kind: MessageKind.Vote, lastIndex: 50, lastTerm: 9 });
  assert.equal(follower.effects, []);
  assert.equal(follower.tick(10_000).effects, []);
});

/**
 * Guards against a second group beside an existing one, of which a member does not answer or is not empty.
 */
suite('a group is bootstrapped only when every initial replica answers that it is empty', () => {
  const silent = new builder.ReplicaBuilder(0).tick(1_000);
  silent.receive(1, 0, discoverReply(true));
  silent.tick(60_000);
  assert.is(silent.state.term, 0);
  assert.ok(replica.isEmpty(silent.state));
  const survivor = new builder.ReplicaBuilder(0).tick(1_000);
  survivor.receive(1, 0, discoverReply(true));
  survivor.receive(2, 0, discoverReply(false));
  assert.is(survivor.state.term, 0);
  survivor.receive(2, 0, discoverReply(true));
  assert.is(survivor.state.term, 1);
  survivor.receiveVote(1);
  assert.ok(replica.isEmpty(survivor.state));
  survivor.receiveVote(2);
  assert.is(survivor.state.term, 1);
  assert.is(replica.voters(survivor.state).length, 3);
});

/** Guards against bootstrapping a group of daemons that were started with different replica lists. */
suite('replicas with other initial addresses bootstrap no group', () => {
  const first = new builder.ReplicaBuilder(0).tick(1_000);
  first.receive(1, 0, discoverReply(true));
  first.receive(2, 0, discoverReply(true, false));
  assert.is(first.state.term, 0);
});

/** Guards against counting a new, empty replica as the one that was at its address before. */
suite('a message for the replica that was at this address before is ignored', () => {
  const replacement = builder.ReplicaBuilder.inGroup(1, 2, []);
  const { context } = replacement;
  const message: replica.Vote = {
    kind: MessageKind.Vote,
    from: builder.MEMBERS[0],
    toAddress: builder.MEMBERS[1].address,
    toId: 'lost',
    term: 9,
    lastIndex: 50,
    lastTerm: 9,
  };
  replacement.feed({ kind: replica.EventKind.Receive, message, ...context.call(replacement) });
  assert.equal(replacement.effects, []);
});

/** Guards against multiplying messages when a network or a retry duplicates a reply. */
suite('a repeated reply makes the leader send nothing again', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 2, []).elect(1);
  leader.receive(1, 3, appendReply(2)).propose().propose();
  assert.is(leader.receive(1, 3, appendReply(3)).sent(MessageKind.Append).length, 1);
  assert.is(leader.receive(1, 3, appendReply(3)).sent(MessageKind.Append).length, 0);
});

/** Guards against a pause of a second at each planned restart of the leader. */
suite('a leader that resigns makes its most up-to-date follower start an election at once', () => {
  const leader = builder.ReplicaBuilder.inGroup(0, 2, []).elect(1).receive(1, 3, appendReply(2));
  leader.feed({ kind: replica.EventKind.Resign, ...leader.context() });
  assert.is(leader.sent(MessageKind.ElectNow)[0].toId, 'b');
  assert.is(leader.state.role, Role.Follower);
});

suite.run();
