import * as replica from '../../src/replica';

export const MEMBERS = ['a', 'b', 'c'].map((replicaId, index) => ({
  replicaId,
  address: `10.0.0.${index}:7000`,
}));

export const GROUP = { voters: MEMBERS };

/** The replica that replaces `c` after its disk was lost. */
export const REPLACEMENT = { replicaId: 'd', address: MEMBERS[2].address };

const REPLICAS = MEMBERS.map((member) => member.address);

/** Passes chosen events to one replica core. */
export class ReplicaBuilder {
  now = 1_000;

  state: replica.ReplicaState;

  effects: readonly replica.ReplicaEffect[] = [];

  constructor(index: number, durable: replica.DurableState = replica.EMPTY_DURABLE_STATE) {
    this.state = replica.restore({
      self: MEMBERS[index],
      replicas: REPLICAS,
      durable,
      now: this.now,
      random: 0,
    });
  }

  /** A replica of the group a, b and c with entries of the given terms after the group entry. */
  static inGroup(index: number, term: number, entryTerms: readonly number[]): ReplicaBuilder {
    const entries = [
      groupEntry(),
      ...entryTerms.map((entryTerm, position) => entry(position + 2, entryTerm)),
    ];
    return new ReplicaBuilder(index, { hardState: { term }, entries });
  }

  tick(milliseconds: number): this {
    this.now += milliseconds;
    return this.feed({ kind: replica.EventKind.Tick, ...this.context() });
  }

  /** Receives a message from another member. */
  receive(from: number, term: number, body: replica.Body): this {
    return this.receiveFrom(MEMBERS[from], term, body);
  }

  receiveFrom(from: replica.Member, term: number, body: replica.Body): this {
    const { self } = this.state;
    const envelope = { from, toAddress: self.address, toId: self.replicaId, term };
    const message = { ...envelope, ...body } as replica.Message;
    return this.feed({ kind: replica.EventKind.Receive, message, ...this.context() });
  }

  /** Lets a second pass in which the given replicas answer every heartbeat. */
  pass(answering: readonly replica.Member[]): this {
    const body = { kind: replica.MessageKind.AppendReply as const, success: true, matchIndex: 0 };
    for (let step = 0; step < 10; step += 1) {
      this.tick(100);
      answering.forEach((member) =>
        this.receiveFrom(member, this.state.term, { ...body, heartbeat: true }),
      );
    }
    return this;
  }

  propose(): this {
    const proposals = [{ proposalId: 'p', data: Buffer.from('x') }];
    return this.feed({ kind: replica.EventKind.Propose, proposals, ...this.context() });
  }

  feed(event: replica.ReplicaEvent): this {
    const transaction = replica.update(this.state, event);
    this.state = transaction.state;
    this.effects = transaction.effects;
    return this;
  }

  /** Wins an election with the vote of one other member. */
  elect(voter: number): this {
    this.tick(5_000);
    const proposedTerm = this.state.term + 1;
    this.receive(voter, this.state.term, {
      kind: replica.MessageKind.PreVoteReply,
      proposedTerm,
      granted: true,
    });
    return this.receive(voter, proposedTerm, {
      kind: replica.MessageKind.VoteReply,
      granted: true,
    });
  }

  /** Learns from the other members that they have never been in a group. */
  findEmpty(members: readonly number[]): this {
    const body = { kind: replica.MessageKind.DiscoverReply, empty: true, sameReplicas: true };
    members.forEach((member) => this.receive(member, 0, body as replica.DiscoverReply));
    return this;
  }

  /** Receives a vote of the current term from another member. */
  receiveVote(from: number): this {
    const body = { kind: replica.MessageKind.VoteReply as const, granted: true };
    return this.receive(from, this.state.term, body);
  }

  sent(kind: replica.MessageKind): replica.Message[] {
    return this.effects.flatMap((effect) =>
      effect.kind === replica.EffectKind.Send && effect.message.kind === kind
        ? [effect.message]
        : [],
    );
  }

  context(): replica.EventContext {
    return { now: this.now, wallClock: this.now, random: 0 };
  }
}

export function entry(index: number, term: number): replica.Entry {
  const data = Buffer.from(`${index}/${term}`);
  return { index, term, timestamp: index, kind: replica.EntryKind.Command, data };
}

function groupEntry(): replica.Entry {
  const kind = replica.EntryKind.Group;
  return { index: 1, term: 1, timestamp: 1, kind, group: GROUP };
}
