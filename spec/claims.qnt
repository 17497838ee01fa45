// -*- mode: Bluespec; -*-
// Claims and verdicts for one idempotency key. The replicated log is taken as one atomic register here,
// since replicated-log.qnt covers it. Messages are facts in growing sets, so each may arrive late, again, or
// never. Every GUARD constant switches one rule; with all of them on, `safe` must hold.
module claims {
  // A router sends a request only after its claim was granted.
  const GUARD_CLAIM_BEFORE_SEND: bool
  // The log grants a key to one attempt only.
  const GUARD_ONE_CLAIM_A_KEY: bool
  // An attempt whose proposal timed out is over: a late grant does not start it.
  const GUARD_CLOSE_ON_TIMEOUT: bool
  // An attempt is abandoned only when none of its bytes was sent, or the server refused it whole.
  const GUARD_ABANDON_UNSENT_ONLY: bool
  // The log remembers abandoned attempts, so that a late claim of one is refused.
  const GUARD_REMEMBER_ABANDONED: bool
  // A router says "not run" only for an attempt that sent nothing or was refused whole.
  const GUARD_TRUTHFUL_VERDICT: bool
  // An abandoned claim is released only by the attempt that holds it.
  const GUARD_ABANDON_OWN_CLAIM: bool
  // A router accepts an answer only when it carries the id of the request that waits for it.
  const GUARD_MATCH_ANSWER: bool

  type Phase = Waiting | Granted | Sent | Answered | Closed | Crashed
  type Attempt = { id: int, phase: Phase, toldNotRun: bool, refused: bool, answerOf: int }
  type ClaimState = Free | Held(int) | Done(int)

  pure val ATTEMPTS = Set(1, 2, 3)
  // The answer to another caller's request, left on a reused connection.
  pure val FOREIGN_ANSWER = 0

  var attempts: int -> Attempt
  // Attempts whose claim, or whose abandonment, is on its way to the log.
  var claimsInFlight: Set[int]
  var abandonsInFlight: Set[int]
  var claim: ClaimState
  var abandoned: Set[int]
  // Requests on their way to the plain service; a request is taken from the set when it arrives.
  var requests: Set[int]
  var answers: Set[int]
  var refusals: Set[int]
  // History: attempts that the plain service executed.
  var executed: Set[int]

  pure def fresh(id: int): Attempt =
    { id: id, phase: Waiting, toldNotRun: false, refused: false, answerOf: id }

  action init = all {
    attempts' = ATTEMPTS.mapBy(id => fresh(id)),
    claimsInFlight' = ATTEMPTS,
    abandonsInFlight' = Set(),
    claim' = Free,
    abandoned' = Set(),
    requests' = Set(),
    answers' = Set(FOREIGN_ANSWER),
    refusals' = Set(),
    executed' = Set(),
  }

  action unchangedLog = all {
    claimsInFlight' = claimsInFlight, abandonsInFlight' = abandonsInFlight,
    claim' = claim, abandoned' = abandoned,
  }
  action unchangedService = all {
    requests' = requests, answers' = answers, refusals' = refusals, executed' = executed,
  }
  action putAttempt(id: int, attempt: Attempt): bool = attempts' = attempts.set(id, attempt)

  pure def isWaiting(attempt: Attempt): bool = attempt.phase == Waiting
  pure def mayTakeGrant(attempt: Attempt): bool = or {
    attempt.phase == Waiting,
    and { not(GUARD_CLOSE_ON_TIMEOUT), attempt.phase == Closed, not(attempt.refused) },
  }

  // The claim reaches the log; a grant reaches the router unless that has crashed or given up.
  action commitClaim(id: int): bool = {
    val attempt = attempts.get(id)
    val grantable = and {
      or { claim == Free, not(GUARD_ONE_CLAIM_A_KEY) },
      or { not(id.in(abandoned)), not(GUARD_REMEMBER_ABANDONED) },
    }
    all {
      id.in(claimsInFlight),
      if (grantable) all {
        claim' = Held(id),
        putAttempt(id, if (mayTakeGrant(attempt)) { ...attempt, phase: Granted } else attempt),
      } else all {
        claim' = claim,
        putAttempt(id, if (isWaiting(attempt)) { ...attempt, phase: Closed } else attempt),
      },
      claimsInFlight' = claimsInFlight.exclude(Set(id)),
      abandonsInFlight' = abandonsInFlight,
      abandoned' = abandoned,
      unchangedService,
    }
  }

  // No majority answered in time. The router tells the caller "not run" and abandons its attempt.
  action timeOutClaim(id: int): bool = {
    val attempt = attempts.get(id)
    all {
      isWaiting(attempt),
      putAttempt(id, { ...attempt, phase: Closed, toldNotRun: true }),
      abandonsInFlight' = abandonsInFlight.union(Set(id)),
      claimsInFlight' = claimsInFlight, claim' = claim, abandoned' = abandoned,
      unchangedService,
    }
  }

  action commitAbandon(id: int): bool = {
    val holds = or { claim == Held(id), and { not(GUARD_ABANDON_OWN_CLAIM), claim != Free } }
    all {
      id.in(abandonsInFlight),
      claim' = if (holds) Free else claim,
      abandoned' = abandoned.union(Set(id)),
      abandonsInFlight' = abandonsInFlight.exclude(Set(id)),
      claimsInFlight' = claimsInFlight,
      attempts' = attempts,
      unchangedService,
    }
  }

  action send(id: int): bool = {
    val attempt = attempts.get(id)
    all {
      or { attempt.phase == Granted, and { not(GUARD_CLAIM_BEFORE_SEND), isWaiting(attempt) } },
      putAttempt(id, { ...attempt, phase: Sent }),
      requests' = requests.union(Set(id)),
      answers' = answers, refusals' = refusals, executed' = executed,
      unchangedLog,
    }
  }

  action execute(id: int): bool = all {
    id.in(requests),
    requests' = requests.exclude(Set(id)),
    executed' = executed.union(Set(id)),
    answers' = answers.union(Set(id)),
    refusals' = refusals,
    attempts' = attempts,
    unchangedLog,
  }

  action refuse(id: int): bool = all {
    id.in(requests),
    requests' = requests.exclude(Set(id)),
    refusals' = refusals.union(Set(id)),
    answers' = answers, executed' = executed,
    attempts' = attempts,
    unchangedLog,
  }

  // An answer arrives on some connection; without GUARD_MATCH_ANSWER any waiting attempt takes it.
  action receiveAnswer(id: int, answer: int): bool = {
    val attempt = attempts.get(id)
    all {
      attempt.phase == Sent,
      answer.in(answers),
      or { answer == id, not(GUARD_MATCH_ANSWER) },
      putAttempt(id, { ...attempt, phase: Answered, answerOf: answer }),
      claim' = if (claim == Held(id)) Done(id) else claim,
      claimsInFlight' = claimsInFlight, abandonsInFlight' = abandonsInFlight, abandoned' = abandoned,
      unchangedService,
    }
  }

  action receiveRefusal(id: int): bool = {
    val attempt = attempts.get(id)
    all {
      attempt.phase == Sent,
      id.in(refusals),
      putAttempt(id, { ...attempt, phase: Closed, toldNotRun: true, refused: true }),
      abandonsInFlight' = abandonsInFlight.union(Set(id)),
      claimsInFlight' = claimsInFlight, claim' = claim, abandoned' = abandoned,
      unchangedService,
    }
  }

  // The connection broke after a byte may have left: the verdict is "may have run", the claim stays.
  action loseConnection(id: int): bool = {
    val attempt = attempts.get(id)
    all {
      attempt.phase == Sent,
      putAttempt(id, { ...attempt, phase: Closed, toldNotRun: not(GUARD_TRUTHFUL_VERDICT), refused: true }),
      abandonsInFlight' = if (GUARD_ABANDON_UNSENT_ONLY) abandonsInFlight
                          else abandonsInFlight.union(Set(id)),
      claimsInFlight' = claimsInFlight, claim' = claim, abandoned' = abandoned,
      unchangedService,
    }
  }

  action crashRouter(id: int): bool = {
    val attempt = attempts.get(id)
    all {
      attempt.phase.in(Set(Waiting, Granted, Sent)),
      putAttempt(id, { ...attempt, phase: Crashed }),
      unchangedLog,
      unchangedService,
    }
  }

  action step = {
    nondet id = ATTEMPTS.oneOf()
    nondet other = ATTEMPTS.union(Set(FOREIGN_ANSWER)).oneOf()
    any {
      commitClaim(id), timeOutClaim(id), commitAbandon(id), send(id), execute(id), refuse(id),
      receiveAnswer(id, other), receiveRefusal(id), loseConnection(id), crashRouter(id),
    }
  }

  // A narrower environment: connections break, and nothing else goes wrong.
  action lostConnectionStep = {
    nondet id = ATTEMPTS.oneOf()
    any { commitClaim(id), commitAbandon(id), send(id), execute(id), loseConnection(id) }
  }

  val runsAtMostOnce = executed.size() <= 1
  val notRunIsTrue = ATTEMPTS.forall(id => attempts.get(id).toldNotRun implies not(id.in(executed)))
  val ownAnswer = ATTEMPTS.forall(id => or {
    attempts.get(id).phase != Answered, attempts.get(id).answerOf == id })
  // An attempt that the log knows as abandoned does not keep its key from later attempts.
  val abandonedKeyIsFree = abandoned.forall(id => claim != Held(id))

  val safe = and { runsAtMostOnce, notRunIsTrue, ownAnswer, abandonedKeyIsFree }
}
