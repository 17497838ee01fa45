import type * as event from './event';
import * as membershipView from './membership-view';
import * as serverChange from './server-change';

/**
 * What an answered probe changes.
 *
 * @param servers number of servers that this daemon probes
 */
export function succeeded(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded,
  servers: number,
): serverChange.ServerChange {
  const ended = repeatWhileLoading(endProbe(server, probe, servers), probe);
  const seen = serverChange.seeIncarnation(ended, probe.incarnation);
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
  servers: number,
): serverChange.ServerChange {
  const { Dead, Suspected } = membershipView.ServerCondition;
  const failedProbes = server.failedProbes + 1;
  const isDead = failedProbes >= FAILED_PROBES_OF_A_DEAD_SERVER;
  const delay = isDead ? spread(interval(servers), probe.jitter) : RETRY_MILLISECONDS;
  const next = {
    ...endProbe(server, probe, servers),
    condition: isDead ? Dead : Suspected,
    failedProbes,
    suspectedAt: probe.at,
    nextProbeAt: probe.at + delay,
  };
  const isNews = isDead && server.condition !== Dead;
  return { server: next, effects: isNews ? [serverChange.crashed(server)] : [] };
}

function endProbe(
  server: membershipView.ServerState,
  probe: event.ProbeSucceeded | event.ProbeFailed,
  servers: number,
): membershipView.ServerState {
  const planned = server.nextProbeAt > probe.startedAt;
  const nextProbeAt = planned
    ? server.nextProbeAt
    : probe.at + spread(interval(servers), probe.jitter);
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

/** Time between two probes of a server that nobody suspects. */
function interval(servers: number): number {
  return Math.max(PROBE_INTERVAL_MILLISECONDS, servers * INTERVAL_PER_SERVER_MILLISECONDS);
}

/** Between three quarters and five quarters of an interval. */
function spread(intervalMilliseconds: number, jitter: number): number {
  return intervalMilliseconds * (0.75 + jitter / 2);
}

// One lost probe must not look like a crash, and a crash must be known well within a second.
const FAILED_PROBES_OF_A_DEAD_SERVER = 2;

const RETRY_MILLISECONDS = 100;

// A load takes 0.4 s.
const LOADING_INTERVAL_MILLISECONDS = 200;

// A daemon that can neither read the list nor hear its peers learns of a leaving server by probe; the
// last new work must have been sent within 3 s.
const PROBE_INTERVAL_MILLISECONDS = 1_000;

// Bounds the probes of one daemon to 40 a second, each on a new connection. Suspicions are probed at once.
const INTERVAL_PER_SERVER_MILLISECONDS = 25;
