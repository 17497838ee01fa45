// -*- mode: Bluespec; -*-
// Replicated control state: elections, appends, commits by majority, restarts, lost disks and changes of
// voters. Votes and acknowledgements are facts in growing sets, so each may be used late or repeatedly.
// Every GUARD constant switches one rule of the protocol; with all of them on, `safe` must hold.
module replicated_log {
  // A voter grants its vote only to a candidate whose log is at least as up to date as its own.
  const GUARD_LOG_UP_TO_DATE: bool
  // A voter grants one vote a term.
  const GUARD_ONE_VOTE_A_TERM: bool
  // A replica refuses entries of a leader with an older term.
  const GUARD_REFUSE_OLD_TERM: bool
  // A leader commits by majority.
  const GUARD_MAJORITY_COMMIT: bool
  // A leader counts acknowledgements only for entries of its own term.
  const GUARD_COMMIT_OWN_TERM: bool
  // A replica syncs its log before it acknowledges.
  const GUARD_SYNC_BEFORE_ACKNOWLEDGE: bool
  // A replica syncs term and vote before it grants a vote.
  const GUARD_SYNC_VOTE: bool
  // A replica that lost its disk takes a new identity.
  const GUARD_NEW_IDENTITY: bool
  // A leader changes voters only after it has committed an entry of its own term, one change at a time.
  const GUARD_ONE_CHANGE_AT_A_TIME: bool
  // A new identity is never counted as the voter that it replaces before a committed change says so.
  const GUARD_FORM_GROUP_ONCE: bool

  type Entry = { term: int, voters: Set[str], value: int }
  type Replica = {
    term: int, votedFor: str, log: List[Entry], synced: int, syncedTerm: int, syncedVote: str,
    leader: bool, alive: bool
  }
  type Vote = { term: int, voter: str, candidate: str }
  type Acknowledgement = { term: int, count: int, replica: str }
  type Committed = { entry: Entry, commitTerm: int }

  pure val FOUNDERS = Set("a", "b", "c")
  pure val SPARES = Set("d", "e")
  pure val EVERYONE = FOUNDERS.union(SPARES)
  pure val MAX_TERM = 4
  pure val MAX_LOG = 5

  var replicas: str -> Replica
  var votes: Set[Vote]
  var acknowledgements: Set[Acknowledgement]
  // History variables; no rule reads them.
  var committed: List[Committed]
  var conflict: bool

  pure val FIRST_ENTRY = { term: 0, voters: FOUNDERS, value: 0 }

  pure def emptyReplica(log: List[Entry], alive: bool): Replica = {
    term: 0, votedFor: "", log: log, synced: log.length(), syncedTerm: 0, syncedVote: "",
    leader: false, alive: alive
  }

  pure def lastTerm(log: List[Entry]): int =
    if (log.length() == 0) -1 else log[log.length() - 1].term

  // The voters named by the last entry, committed or not.
  pure def votersOf(log: List[Entry]): Set[str] =
    if (log.length() == 0) Set() else log[log.length() - 1].voters

  pure def isQuorum(members: Set[str], voters: Set[str]): bool =
    2 * members.intersect(voters).size() > voters.size()

  pure def upToDate(candidate: List[Entry], voter: List[Entry]): bool =
    or {
      lastTerm(candidate) > lastTerm(voter),
      lastTerm(candidate) == lastTerm(voter) and candidate.length() >= voter.length()
    }

  action init = all {
    replicas' = EVERYONE.mapBy(id =>
      if (id.in(FOUNDERS)) emptyReplica([FIRST_ENTRY], true) else emptyReplica([], false)),
    votes' = Set(),
    acknowledgements' = Set(),
    committed' = [{ entry: FIRST_ENTRY, commitTerm: 0 }],
    conflict' = false,
  }

  // The spare replicas run as learners, so that changes of voters need no lost disk first.
  action initWithLearners = all {
    replicas' = EVERYONE.mapBy(id =>
      if (id.in(FOUNDERS)) emptyReplica([FIRST_ENTRY], true) else emptyReplica([], true)),
    votes' = Set(),
    acknowledgements' = Set(),
    committed' = [{ entry: FIRST_ENTRY, commitTerm: 0 }],
    conflict' = false,
  }

  // Reached by elect(a, b), propose(a), elect(c, b), propose(c), restart(a): two leaders in turn appended
  // an entry that no other replica has.
  action initAfterTwoElections = {
    val first = { term: 1, voters: FOUNDERS, value: 1 }
    val second = { term: 2, voters: FOUNDERS, value: 2 }
    val base = emptyReplica([FIRST_ENTRY], true)
    all {
      replicas' = EVERYONE.mapBy(id =>
        if (id == "a") { ...base, term: 1, votedFor: "a", syncedTerm: 1, syncedVote: "a",
                         log: [FIRST_ENTRY, first], synced: 2 }
        else if (id == "b") { ...base, term: 2, votedFor: "c", syncedTerm: 2, syncedVote: "c" }
        else if (id == "c") { ...base, term: 2, votedFor: "c", syncedTerm: 2, syncedVote: "c",
                              leader: true, log: [FIRST_ENTRY, second], synced: 2 }
        else emptyReplica([], false)),
      votes' = Set({ term: 1, voter: "a", candidate: "a" }, { term: 1, voter: "b", candidate: "a" },
                   { term: 2, voter: "c", candidate: "c" }, { term: 2, voter: "b", candidate: "c" }),
      acknowledgements' = Set({ term: 1, count: 2, replica: "a" }, { term: 2, count: 2, replica: "c" }),
      committed' = [{ entry: FIRST_ENTRY, commitTerm: 0 }],
      conflict' = false,
    }
  }

  action unchangedHistory = all { committed' = committed, conflict' = conflict }

  action startElection(id: str): bool = {
    val replica = replicas.get(id)
    all {
      replica.alive,
      not(replica.leader),
      id.in(votersOf(replica.log)),
      replica.term < MAX_TERM,
      val updated = { ...replica, term: replica.term + 1, votedFor: id,
                   syncedTerm: replica.term + 1, syncedVote: id }
      all {
        replicas' = replicas.set(id, updated),
        votes' = votes.union(Set({ term: updated.term, voter: id, candidate: id })),
        acknowledgements' = acknowledgements,
        unchangedHistory,
      }
    }
  }

  action grantVote(voter: str, candidate: str): bool = {
    val own = replicas.get(voter)
    val other = replicas.get(candidate)
    all {
      voter != candidate,
      own.alive,
      other.votedFor == candidate,
      own.log.length() > 0,
      other.term >= own.term,
      or { not(GUARD_ONE_VOTE_A_TERM), other.term > own.term, own.votedFor == "", own.votedFor == candidate },
      or { not(GUARD_LOG_UP_TO_DATE), upToDate(other.log, own.log) },
      val updated = { ...own, term: other.term, votedFor: candidate,
                   leader: own.leader and other.term == own.term,
                   syncedTerm: if (GUARD_SYNC_VOTE) other.term else own.syncedTerm,
                   syncedVote: if (GUARD_SYNC_VOTE) candidate else own.syncedVote }
      all {
        replicas' = replicas.set(voter, updated),
        votes' = votes.union(Set({ term: other.term, voter: voter, candidate: candidate })),
        acknowledgements' = acknowledgements,
        unchangedHistory,
      }
    }
  }

  action becomeLeader(id: str): bool = {
    val replica = replicas.get(id)
    val granted = votes.filter(v => v.term == replica.term and v.candidate == id).map(v => v.voter)
    all {
      replica.alive,
      not(replica.leader),
      replica.votedFor == id,
      isQuorum(granted, votersOf(replica.log)),
      replicas' = replicas.set(id, { ...replica, leader: true }),
      votes' = votes,
      acknowledgements' = acknowledgements,
      unchangedHistory,
    }
  }

  action appendEntry(id: str, entry: Entry): bool = {
    val replica = replicas.get(id)
    val log = replica.log.append(entry)
    all {
      replica.alive,
      replica.leader,
      replica.log.length() < MAX_LOG,
      replicas' = replicas.set(id, { ...replica, log: log, synced: log.length() }),
      votes' = votes,
      acknowledgements' = acknowledgements.union(
        Set({ term: replica.term, count: log.length(), replica: id })),
      unchangedHistory,
    }
  }

  // A candidate that times out until its term is the highest, and wins with the vote of one other replica.
  // The composition of the smaller steps above; it makes traces with several elections likely.
  action elect(candidate: str, voter: str): bool = {
    val own = replicas.get(candidate)
    val other = replicas.get(voter)
    val term = 1 + (if (own.term > other.term) own.term else other.term)
    val synced = { ...other, term: term, votedFor: candidate, leader: false,
                   syncedTerm: if (GUARD_SYNC_VOTE) term else other.syncedTerm,
                   syncedVote: if (GUARD_SYNC_VOTE) candidate else other.syncedVote }
    all {
      candidate.in(votersOf(own.log)),
      other.log.length() > 0,
      isQuorum(Set(candidate, voter), votersOf(own.log)),
      term <= MAX_TERM,
      or { not(GUARD_LOG_UP_TO_DATE), upToDate(own.log, other.log) },
      replicas' = replicas
        .set(voter, synced)
        .set(candidate, { ...own, term: term, votedFor: candidate, leader: true,
                          syncedTerm: term, syncedVote: candidate }),
      votes' = votes.union(Set({ term: term, voter: voter, candidate: candidate },
                               { term: term, voter: candidate, candidate: candidate })),
      acknowledgements' = acknowledgements,
      unchangedHistory,
    }
  }

  action propose(id: str, value: int): bool = {
    val replica = replicas.get(id)
    appendEntry(id, { term: replica.term, voters: votersOf(replica.log), value: value })
  }

  // Adds or removes one voter. A voter is added once its log holds everything the leader has committed.
  action changeVoters(id: str, changed: str): bool = {
    val replica = replicas.get(id)
    val current = votersOf(replica.log)
    val updated = if (changed.in(current)) current.exclude(Set(changed)) else current.union(Set(changed))
    all {
      replica.leader,
      changed != id,
      updated.size() > 1,
      or { changed.in(current), replicas.get(changed).alive },
      or { not(GUARD_ONE_CHANGE_AT_A_TIME), changeIsSettled(id, replica) },
      appendEntry(id, { term: replica.term, voters: updated, value: 0 }),
    }
  }

  // The last entry is of the leader's own term and committed, so no other change is pending.
  def changeIsSettled(id: str, replica: Replica): bool = and {
    lastTerm(replica.log) == replica.term,
    hasMajority(id, replica, replica.log.length()),
  }

  // The leader counts itself: it synced the entry when it appended it.
  def hasMajority(id: str, replica: Replica, count: int): bool = {
    val holders = acknowledgements
      .filter(a => a.term == replica.term and a.count >= count).map(a => a.replica)
    isQuorum(holders.union(Set(id)), votersOf(replica.log))
  }

  action replicate(leader: str, follower: str): bool = {
    val source = replicas.get(leader)
    val target = replicas.get(follower)
    all {
      leader != follower,
      source.alive, source.leader, target.alive,
      or { not(GUARD_REFUSE_OLD_TERM), source.term >= target.term },
      val newTerm = if (source.term > target.term) source.term else target.term
      val updated = { ...target,
        term: newTerm,
        votedFor: if (newTerm > target.term) "" else target.votedFor,
        syncedTerm: newTerm,
        syncedVote: if (newTerm > target.syncedTerm) "" else target.syncedVote,
        leader: target.leader and newTerm == target.term,
        log: source.log,
        synced: if (GUARD_SYNC_BEFORE_ACKNOWLEDGE) source.log.length() else target.synced }
      all {
        replicas' = replicas.set(follower, updated),
        votes' = votes,
        acknowledgements' = acknowledgements.union(
          Set({ term: source.term, count: source.log.length(), replica: follower })),
        unchangedHistory,
      }
    }
  }

  action commit(id: str, count: int): bool = {
    val replica = replicas.get(id)
    all {
      replica.alive, replica.leader,
      count <= replica.log.length(),
      or { not(GUARD_MAJORITY_COMMIT), hasMajority(id, replica, count) },
      or { not(GUARD_COMMIT_OWN_TERM), replica.log[count - 1].term == replica.term },
      val agrees = committed.indices().forall(i =>
        i >= count or committed[i].entry == replica.log[i])
      all {
        conflict' = (conflict or not(agrees)),
        committed' = if (count <= committed.length() or not(agrees)) committed
          else range(committed.length(), count).foldl(committed, (list, i) =>
            list.append({ entry: replica.log[i], commitTerm: replica.term })),
        replicas' = replicas, votes' = votes, acknowledgements' = acknowledgements,
      }
    }
  }

  // A crash and restart: what was not synced is gone.
  action restart(id: str): bool = {
    val replica = replicas.get(id)
    val kept = if (replica.synced < replica.log.length()) replica.log.slice(0, replica.synced)
               else replica.log
    all {
      replica.alive,
      replicas' = replicas.set(id, { ...replica, leader: false, log: kept, synced: kept.length(),
        term: replica.syncedTerm, votedFor: replica.syncedVote }),
      votes' = votes, acknowledgements' = acknowledgements, unchangedHistory,
    }
  }

  // A disk is lost. With GUARD_NEW_IDENTITY the old identity is gone for ever and a new one appears.
  // Without GUARD_FORM_GROUP_ONCE the new identity at once forms a group of its own.
  action loseDisk(id: str, spare: str): bool = {
    val replica = replicas.get(id)
    all {
      replica.alive,
      replica.log.length() > 0,
      if (GUARD_NEW_IDENTITY) all {
        not(replicas.get(spare).alive),
        spare.in(SPARES),
        replicas.get(spare).log.length() == 0,
        replicas' = replicas
          .set(id, { ...replica, alive: false, leader: false })
          .set(spare, emptyReplica(
            if (GUARD_FORM_GROUP_ONCE) [] else [{ term: 0, voters: Set(spare), value: 0 }], true)),
      } else all {
        replicas' = replicas.set(id, emptyReplica([FIRST_ENTRY], true)),
      },
      votes' = votes, acknowledgements' = acknowledgements, unchangedHistory,
    }
  }

  def living = EVERYONE.filter(id => replicas.get(id).alive)
  def leaders = living.filter(id => replicas.get(id).leader)
  def candidates = living.filter(id => replicas.get(id).votedFor == id and not(replicas.get(id).leader))

  // The choices are filtered to enabled ones, since the simulator retries every choice that is not.
  action step = any {
    { nondet id = living.filter(l => not(replicas.get(l).leader)).oneOf() startElection(id) },
    { nondet candidate = candidates.oneOf() nondet voter = living.exclude(Set(candidate)).oneOf()
      grantVote(voter, candidate) },
    { nondet id = candidates.oneOf() becomeLeader(id) },
    { nondet id = leaders.oneOf() nondet value = Set(1, 2, 3).oneOf() propose(id, value) },
    { nondet leader = leaders.oneOf() nondet follower = living.exclude(Set(leader)).oneOf()
      replicate(leader, follower) },
    { nondet id = leaders.oneOf() nondet count = 1.to(replicas.get(id).log.length()).oneOf()
      commit(id, count) },
    { nondet id = living.oneOf() restart(id) },
    { nondet id = living.oneOf() nondet spare = EVERYONE.exclude(living).oneOf() loseDisk(id, spare) },
    { nondet id = leaders.oneOf() nondet changed = EVERYONE.exclude(Set(id)).oneOf()
      changeVoters(id, changed) },
  }

  action electStep = {
    nondet candidate = living.oneOf()
    nondet voter = living.exclude(Set(candidate)).oneOf()
    elect(candidate, voter)
  }
  action proposeStep = { nondet id = leaders.oneOf() nondet value = Set(1, 2).oneOf() propose(id, value) }
  action replicateStep = {
    nondet leader = leaders.oneOf()
    nondet follower = living.exclude(Set(leader)).oneOf()
    replicate(leader, follower)
  }
  action commitStep = { nondet id = leaders.oneOf() commit(id, replicas.get(id).log.length()) }
  action restartStep = { nondet id = living.oneOf() restart(id) }
  action changeStep = {
    nondet id = leaders.oneOf()
    nondet changed = EVERYONE.exclude(Set(id)).oneOf()
    changeVoters(id, changed)
  }

  // Narrower environments, in which the faults of some rules are likely to be sampled.
  action partitionStep = any { electStep, proposeStep, replicateStep, commitStep }
  action restartsStep = any { electStep, proposeStep, replicateStep, commitStep, restartStep }
  action votersStep = any { electStep, replicateStep, commitStep, changeStep }

  val oneLeaderATerm = EVERYONE.forall(left => EVERYONE.forall(right => or {
    left == right,
    not(replicas.get(left).leader),
    not(replicas.get(right).leader),
    replicas.get(left).term != replicas.get(right).term,
  }))

  // A leader holds every entry that was committed in its own or an earlier term.
  val leadersHoldCommitted = EVERYONE.forall(id => {
    val replica = replicas.get(id)
    replica.leader implies committed.indices().forall(i => or {
      committed[i].commitTerm > replica.term,
      and { i < replica.log.length(), replica.log[i] == committed[i].entry },
    })
  })

  val safe = and { oneLeaderATerm, leadersHoldCommitted, not(conflict) }
}
