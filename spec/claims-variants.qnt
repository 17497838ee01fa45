// The protocol with all guards, and one variant for each guard that is switched off. A variant must be
// reported as a violation; otherwise the sampling would not find the fault that the guard prevents.
module protocol {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_claim_before_send {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = false,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_one_claim_a_key {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = false,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_close_on_timeout {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = false,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_abandon_unsent_only {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = false,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_remember_abandoned {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = false,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_truthful_verdict {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = false,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_abandon_own_claim {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = false,
    GUARD_MATCH_ANSWER = true
  ).* from "./claims"
}

module without_match_answer {
  import claims(
    GUARD_CLAIM_BEFORE_SEND = true,
    GUARD_ONE_CLAIM_A_KEY = true,
    GUARD_CLOSE_ON_TIMEOUT = true,
    GUARD_ABANDON_UNSENT_ONLY = true,
    GUARD_REMEMBER_ABANDONED = true,
    GUARD_TRUTHFUL_VERDICT = true,
    GUARD_ABANDON_OWN_CLAIM = true,
    GUARD_MATCH_ANSWER = false
  ).* from "./claims"
}
