import * as backend from '../backend';
import type * as event from './event';
import * as membershipView from './membership-view';
import * as serverChange from './server-change';

/**
 * Marks the run of a server's process that has answered that it leaves. The answer of an earlier run, or of the server that had
 * the id at another address, marks nothing.
 */
export function markAnswered(
  server: membershipView.ServerState,
  answered: event.AnsweredAsLeaving,
): serverChange.ServerChange {
  const { at, incarnation } = answered;
  const { Answer } = membershipView.LeavingSource;
  return hasMoved(server.machine, answered) || isOfEarlierRun(server, incarnation)
    ? serverChange.unchanged(server)
    : serverChange.then(
        serverChange.markLeaving(server, at, incarnation ?? server.incarnation, Answer),
        (next) => serverChange.unchanged(scheduleProbe(next, at)),
      );
}

/** Whether an answer to this daemon has marked the present run, which no report about another run may change. */
export function isMarkedByAnswer(server: membershipView.ServerState): boolean {
  return (
    server.leaving?.source === membershipView.LeavingSource.Answer &&
    membershipView.isLeaving(server)
  );
}

/** Keeps the mark of a server that the list does not contain at this moment. */
export function markUnlisted(
  view: membershipView.MembershipView,
  { at, serverId, host, port, incarnation }: event.AnsweredAsLeaving,
): membershipView.MembershipView {
  if (view.removed.has(serverId)) {
    return view;
  }
  const source = membershipView.LeavingSource.Answer;
  const mark = { incarnation, source, markedAt: at, reportedAt: at };
  const address = { host, port };
  const removed = view.removed.set(serverId, { mark, address, incarnation, removedAt: at });
  return { ...view, removed };
}

/**
 * The marks of servers that the list no longer contains; the same object if nothing changes.
 *
 * @param unlisted servers that the list before contained
 * @param at monotonic time in milliseconds
 */
export function removedMarks(
  removed: membershipView.MembershipView['removed'],
  unlisted: readonly membershipView.ServerState[],
  listed: ReadonlySet<string>,
  at: number,
): membershipView.MembershipView['removed'] {
  const marked = unlisted.filter(({ leaving }) => leaving !== undefined);
  if (removed.size === 0 && marked.length === 0) {
    return removed;
  }
  return removed
    .filter(({ removedAt }, id) => !listed.has(id) && at - removedAt <= REMOVED_MILLISECONDS)
    .withMutations((mutable) =>
      marked.forEach(({ machine, leaving, incarnation, previousIncarnation }) => {
        const runs = { incarnation, previousIncarnation };
        mutable.set(machine.id, { mark: leaving!, address: machine, ...runs, removedAt: at });
      }),
    );
}

/**
 * A server that is listed again with the mark that it had, unless it is known to be another one. It may have started again under
 * its id while the list lacked it, so that the mark is one that a probe can end.
 */
export function withRemovedMark(
  server: membershipView.ServerState,
  removed: membershipView.RemovedMark | undefined,
  at: number,
): membershipView.ServerState {
  if (
    removed === undefined ||
    hasMoved(server.machine, removed.address) ||
    at - removed.removedAt > REMOVED_MILLISECONDS
  ) {
    return server;
  }
  const { incarnation, previousIncarnation } = removed;
  const mark = { ...removed.mark, source: membershipView.LeavingSource.Answer };
  const { incarnation: listedRun = incarnation } = server.machine;
  // An entry with the run before comes from a list that is older.
  return listedRun === incarnation || listedRun === previousIncarnation
    ? scheduleProbe({ ...server, leaving: mark, incarnation, previousIncarnation }, at)
    : server;
}

/** Whether the id now belongs to a server at another address. */
export function hasMoved(
  previous: backend.MachineRecord,
  { host, port }: Pick<backend.MachineRecord, 'host' | 'port'>,
): boolean {
  return previous.host !== host || previous.port !== port;
}

/** A call that was sent without a known run met the first one that was observed, unless another was observed since. */
function isOfEarlierRun(
  { incarnation, previousIncarnation }: membershipView.ServerState,
  expected: string | undefined,
): boolean {
  return expected === undefined
    ? previousIncarnation !== undefined
    : incarnation !== undefined && incarnation !== expected;
}

/**
 * Whether only a probe can show that a marked server has started again: the list does not name its run, and it gets no requests
 * whose answers could.
 */
export function isProbedAgain({ machine, leaving }: membershipView.ServerState): boolean {
  return (
    leaving !== undefined &&
    leaving.source !== membershipView.LeavingSource.Own &&
    machine.incarnation === undefined &&
    machine.phase === backend.MachinePhase.Live
  );
}

/** Schedules the next probe of a marked server that only a probe frees. */
export function scheduleProbe(
  server: membershipView.ServerState,
  at: number,
): membershipView.ServerState {
  const nextProbeAt = Math.min(server.nextProbeAt, at + PROBE_AGAIN_MILLISECONDS);
  return isProbedAgain(server) && nextProbeAt !== server.nextProbeAt
    ? { ...server, nextProbeAt }
    : server;
}

// Above the time for which an entry is missing from some of the reads of the list.
const REMOVED_MILLISECONDS = 30_000;

// Most servers that leave are gone within seconds; each daemon that has marked one opens a connection for each probe.
const PROBE_AGAIN_MILLISECONDS = 5_000;
