import type * as event from './event';
import * as membershipView from './membership-view';
import * as serverChange from './server-change';

/**
 * What an answered probe changes.
 *
 * @param routineMilliseconds time until the next probe of a server that nobody suspects
 */
export function succeeded(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
  routineMilliseconds: number,
): serverChange.ServerChange {
  const probed = endProbe(server, probe, routineMilliseconds);
  // Where no server is probed as a routine, the list tells when the load has ended.
  const ended = Number.isFinite(routineMilliseconds) ? repeatWhileLoading(probed, probe) : probed;
  const seen = serverChange.observeIncarnation(ended, probe.incarnation);
  const alive = serverChange.then(seen, (next) => serverChange.unchanged(revive(next, probe)));
  return probe.leaving
    ? serverChange.then(alive, (next) =>
        serverChange.markLeaving(next, probe.at, probe.incarnation),
      )
    : serverChange.then(alive, (next) => serverChange.unchanged(unmark(next, probe)));
}

/** What an unanswered probe changes. The second one in a row means that the server is dead. */
export function failed(
  server: membershipView.ServerState,
  probe: event.ProbeFailed,
  routineMilliseconds: number,
): serverChange.ServerChange {
  const { Dead, Suspected } = membershipView.ServerCondition;
  const failedProbes = server.failedProbes + 1;
  const isDead = failedProbes >= FAILED_PROBES_OF_A_DEAD_SERVER;
  const delay = isDead
    ? spread(
        Number.isFinite(routineMilliseconds) ? routineMilliseconds : DEAD_MILLISECONDS,
        probe.jitter,
      )
    : RETRY_MILLISECONDS;
  const next = {
    ...endProbe(server, probe, routineMilliseconds),
    condition: isDead ? Dead : Suspected,
    failedProbes,
    suspectedAt: probe.at,
    nextProbeAt: probe.at + delay,
  };
  const isNews = isDead && server.condition !== Dead;
  return { server: next, effects: isNews ? [serverChange.crashed(server, probe.spoke)] : [] };
}

function endProbe(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded | event.ProbeFailed,
  routineMilliseconds: number,
): membershipView.ServerState {
  const planned = server.nextProbeAt > probe.startedAt;
  const nextProbeAt = planned
    ? server.nextProbeAt
    : probe.at + spread(routineMilliseconds, probe.jitter);
  return { ...server, probeStartedAt: undefined, nextProbeAt };
}

/** Every daemon has to learn soon that the server serves again. */
function repeatWhileLoading(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const nextProbeAt = probe.at + spread(LOADING_INTERVAL_MILLISECONDS, probe.jitter);
  return probe.loading === true
    ? { ...server, nextProbeAt: Math.min(server.nextProbeAt, nextProbeAt) }
    : server;
}

/** A probe that started before the suspicion says nothing about it. */
function revive(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const { Alive, Suspected } = membershipView.ServerCondition;
  const isOlder = server.condition === Suspected && probe.startedAt < server.suspectedAt;
  return {
    ...server,
    condition: isOlder ? Suspected : Alive,
    failedProbes: 0,
    weightsVersion: probe.weightsVersion,
    loading: probe.loading,
  };
}

/** Removes a leaving mark that was set for an earlier process of the server. */
function unmark(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
): membershipView.ServerState {
  const mark = server.leaving;
  if (mark === undefined) {
    return server;
  }
  const isOtherProcess = probe.incarnation !== mark.incarnation && probe.startedAt > mark.markedAt;
  return isOtherProcess ? { ...server, leaving: undefined } : server;
}

/** Between three quarters and five quarters of an interval. */
function spread(intervalMilliseconds: number, jitter: number): number {
  return intervalMilliseconds * (0.75 + jitter / 2);
}

// One lost probe must not look like a crash, and a crash must be known well within a second.
const FAILED_PROBES_OF_A_DEAD_SERVER = 2;

const RETRY_MILLISECONDS = 100;

// A server that is back may not change its place in the list, so that only a probe shows it.
const DEAD_MILLISECONDS = 1_000;

// A load takes 0.4 s.
const LOADING_INTERVAL_MILLISECONDS = 200;
