import * as logs from './log';
import * as states from './state';

/**
 * How long a leader may still act without a log entry, in milliseconds; 0 for any other replica.
 *
 * A majority answered messages that were sent at most one lease ago. The time of sending counts, not the
 * arrival of the answer: after a pause of the process, answers from before it may still wait in a queue. A
 * leader of a higher term is elected only by a majority that no longer answers messages of this term, so this
 * lease ends less than `electionTimeoutMilliseconds` after that election.
 *
 * @param notBefore messages that were sent earlier do not count: the end of the last suspension of the VM, which
 *   the clock of `now` leaves out
 * @example
 * if (replica.leaseRemaining(state, clock.monotonic()) > 0) { sendOrder(); }
 */
export function leaseRemaining(
  state: states.ReplicaState,
  now: number,
  notBefore = Number.NEGATIVE_INFINITY,
): number {
  if (state.role !== states.Role.Leader) {
    return 0;
  }
  const leaseMilliseconds = state.parameters.electionTimeoutMilliseconds * LEASE_SHARE;
  const starts = states
    .voters(state)
    .map(({ replicaId }) => leaseStartOf(state, replicaId, now))
    .map((start) => (start >= notBefore ? start : Number.NEGATIVE_INFINITY))
    .sort((left, right) => right - left);
  const start = starts[Math.floor(starts.length / 2)] ?? Number.NEGATIVE_INFINITY;
  return Math.max(0, start + leaseMilliseconds - now);
}

/**
 * Whether all that earlier leaders acknowledged is below the commit index. A new leader does not know this before an entry of
 * its own term is committed.
 *
 * @example
 * const knowsNewest = leaseRemaining(state, now) > 0 && hasCommittedInTerm(state);
 */
export function hasCommittedInTerm(state: states.ReplicaState): boolean {
  return (
    state.role === states.Role.Leader && logs.termAt(state.log, state.commitIndex) === state.term
  );
}

function leaseStartOf(state: states.ReplicaState, replicaId: string, now: number): number {
  const acknowledgedAt = state.progress.get(replicaId)?.acknowledgedAt;
  return replicaId === state.self.replicaId ? now : (acknowledgedAt ?? Number.NEGATIVE_INFINITY);
}

/** The remaining share allows for clocks of different speed. */
const LEASE_SHARE = 0.8;
