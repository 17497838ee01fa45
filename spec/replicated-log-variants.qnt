// The protocol with all guards, and one variant for each guard that is switched off. A variant must be
// reported as a violation; otherwise the sampling would not find the fault that the guard prevents.
module protocol {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_log_up_to_date {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = false,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_one_vote_a_term {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = false,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_refuse_old_term {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = false,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_majority_commit {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = false,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_commit_own_term {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = false,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_sync_before_acknowledge {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = false,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_sync_vote {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = false,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_new_identity {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = false,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_one_change_at_a_time {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = false,
    GUARD_FORM_GROUP_ONCE = true
  ).* from "./replicated-log"
}

module without_form_group_once {
  import replicated_log(
    GUARD_LOG_UP_TO_DATE = true,
    GUARD_ONE_VOTE_A_TERM = true,
    GUARD_REFUSE_OLD_TERM = true,
    GUARD_MAJORITY_COMMIT = true,
    GUARD_COMMIT_OWN_TERM = true,
    GUARD_SYNC_BEFORE_ACKNOWLEDGE = true,
    GUARD_SYNC_VOTE = true,
    GUARD_NEW_IDENTITY = true,
    GUARD_ONE_CHANGE_AT_A_TIME = true,
    GUARD_FORM_GROUP_ONCE = false
  ).* from "./replicated-log"
}
