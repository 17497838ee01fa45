import type * as effect from './effect';
import type * as event from './event';
import * as leavingMarks from './leaving';
import * as membershipView from './membership-view';
import * as serverChange from './server-change';

/**
 * Applies an answered probe.
 *
 * @param intervalMilliseconds time until the next probe of a server that is not suspected
 */
export function succeeded(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
  intervalMilliseconds: number,
): serverChange.ServerChange {
  const probed = endProbe(server, probe, intervalMilliseconds);
  // Without probes at intervals, the platform's list shows when loading has ended.
  const rescheduled = Number.isFinite(intervalMilliseconds)
    ? repeatWhileLoading(probed, probe)
    : probed;
  const observed =
    probe.incarnation === undefined
      ? serverChange.unchanged(rescheduled)
      : serverChange.observeIncarnation(rescheduled, probe.incarnation);
  const alive = serverChange.then(observed, (next) =>
    serverChange.unchanged(endSuspicion(next, probe)),
  );
  const marked = probe.leaving
    ? serverChange.then(alive, (next) => markLeaving(next, probe, intervalMilliseconds))
    : serverChange.then(alive, (next) => serverChange.unchanged(removeOutdatedMark(next, probe)));
  return serverChange.then(marked, (next) =>
    serverChange.unchanged(leavingMarks.scheduleProbe(next, probe.at)),
  );
}

/** Where neither probes at intervals nor the list show the next run, the mark is one that is probed again. */
function markLeaving(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
  intervalMilliseconds: number,
): serverChange.ServerChange {
  const { Answer, Own } = membershipView.LeavingSource;
  const incarnation = probe.incarnation ?? server.incarnation;
  const isRunListed = server.machine.incarnation !== undefined;
  const source = Number.isFinite(intervalMilliseconds) || isRunListed ? Own : Answer;
  return serverChange.markLeaving(server, probe.at, incarnation, source);
}

/**
 * Applies an unanswered probe. The second one in a row means that the server is dead. The first one is reported to the
 * peers, which then probe the server too; a mere suspicion is not, since most suspected servers are only slow, and each
 * probe of each peer costs a connection.
 */
export function failed(
  server: membershipView.ServerState,
  probe: event.ProbeFailed,
  intervalMilliseconds: number,
): serverChange.ServerChange {
  if (probe.isInconclusive === true) {
    const nextProbeAt = probe.at + withJitter(DEAD_INTERVAL_MILLISECONDS, probe.jitter);
    const ended = endProbe(server, probe, intervalMilliseconds);
    return serverChange.unchanged({ ...ended, nextProbeAt });
  }
  if (isOnlyProbedAgain(server, intervalMilliseconds)) {
    const ended = endProbe(server, probe, intervalMilliseconds);
    return serverChange.unchanged(leavingMarks.scheduleProbe(ended, probe.at));
  }
  const { Dead, Suspected } = membershipView.ServerCondition;
  const failedProbes = server.failedProbes + 1;
  const isDead = failedProbes >= FAILED_PROBES_OF_A_DEAD_SERVER;
  const delay = isDead
    ? withJitter(
        Number.isFinite(intervalMilliseconds) ? intervalMilliseconds : DEAD_INTERVAL_MILLISECONDS,
        probe.jitter,
      )
    : RETRY_MILLISECONDS;
  const next = {
    ...endProbe(server, probe, intervalMilliseconds),
    condition: isDead ? Dead : Suspected,
    failedProbes,
    suspectedAt: probe.at,
    nextProbeAt: probe.at + delay,
  };
  const isNewlyDead = isDead && server.condition !== Dead;
  const isNewlyFailing = server.condition === Suspected && failedProbes === 1;
  return {
    server: next,
    effects: [
      ...(isNewlyFailing ? [serverChange.suspicionReport(server)] : []),
      ...(isNewlyDead ? [died(server, probe)] : []),
    ],
  };
}

/** A server that gets no requests and that nothing suspects: its running requests find out themselves whether it is dead. */
function isOnlyProbedAgain(
  server: membershipView.ServerState,
  intervalMilliseconds: number,
): boolean {
  const isAlive = server.condition === membershipView.ServerCondition.Alive;
  return isAlive && !Number.isFinite(intervalMilliseconds) && leavingMarks.isProbedAgain(server);
}

function died(
  server: membershipView.ServerState,
  { answeredMalformed }: event.ProbeFailed,
): effect.MembershipEffect {
  const isDead = true as const;
  return answeredMalformed === true
    ? serverChange.crashed(server, { isDead, isProcessAlive: true })
    : serverChange.crashed(server, { isDead });
}

function endProbe(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded | event.ProbeFailed,
  intervalMilliseconds: number,
): membershipView.ServerState {
  const isRescheduled = server.nextProbeAt > probe.startedAt;
  const nextProbeAt = isRescheduled
    ? server.nextProbeAt
    : probe.at + withJitter(intervalMilliseconds, probe.jitter);
  return { ...server, probeStartedAt: undefined, nextProbeAt };
}

/** Probes a loading server more often, because every daemon must soon use it again. */
function repeatWhileLoading(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const nextProbeAt = probe.at + withJitter(LOADING_INTERVAL_MILLISECONDS, probe.jitter);
  return probe.loading === true
    ? { ...server, nextProbeAt: Math.min(server.nextProbeAt, nextProbeAt) }
    : server;
}

/** Ends a suspicion, unless it began after the probe was started. */
function endSuspicion(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const { Alive, Suspected } = membershipView.ServerCondition;
  const isOlder = server.condition === Suspected && probe.startedAt < server.suspectedAt;
  return {
    ...server,
    condition: isOlder ? Suspected : Alive,
    failedProbes: 0,
    weightsVersion: probe.weightsVersion ?? server.weightsVersion,
    loading: probe.loading,
    isLoadingPresumed: undefined,
  };
}

/** Removes a leaving mark that belongs to an earlier process of the server. */
function removeOutdatedMark(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const mark = server.leaving;
  if (mark === undefined || probe.startedAt <= mark.markedAt) {
    return server;
  }
  // A server that leaves says so in all its answers, so that one which does not is of a later run.
  const { Own } = membershipView.LeavingSource;
  const isOtherProcess =
    probe.incarnation === undefined
      ? mark.source !== Own && mark.incarnation === undefined
      : probe.incarnation !== mark.incarnation;
  return isOtherProcess ? { ...server, leaving: undefined } : server;
}

/** Varies an interval at random between three quarters and five quarters of it. */
function withJitter(intervalMilliseconds: number, jitter: number): number {
  return intervalMilliseconds * (0.75 + jitter / 2);
}

// One lost probe must not count as a crash, and a crash must be detected well within a second.
const FAILED_PROBES_OF_A_DEAD_SERVER = 2;

const RETRY_MILLISECONDS = 100;

// The list may not change when a server returns, so that only a probe shows it.
const DEAD_INTERVAL_MILLISECONDS = 1_000;

// Loading weights takes 0.4 s.
const LOADING_INTERVAL_MILLISECONDS = 200;
