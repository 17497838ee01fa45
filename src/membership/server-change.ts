import * as backend from '../backend';
import * as effect from './effect';
import * as membershipView from './membership-view';
import * as report from './report';

/** A changed server and the effects of the change; `update` combines these. */
export interface ServerChange {
  readonly server: membershipView.ServerState;
  readonly effects: readonly effect.MembershipEffect[];
}

/** The state of a server when the list first contains it. */
export function newServer(
  machine: backend.MachineRecord,
  firstProbeAt: number,
): membershipView.ServerState {
  return {
    machine,
    condition: membershipView.ServerCondition.Alive,
    failedProbes: 0,
    suspectedAt: 0,
    nextProbeAt: firstProbeAt,
  };
}

/** A change without effects. */
export function unchanged(server: membershipView.ServerState): ServerChange {
  return { server, effects: [] };
}

/** Applies a second change to the outcome of a first. */
export function then(
  first: ServerChange,
  next: (server: membershipView.ServerState) => ServerChange,
): ServerChange {
  const second = next(first.server);
  return { server: second.server, effects: [...first.effects, ...second.effects] };
}

/** Starts a probe now, or schedules one for the end of the running probe. */
export function probeNow(server: membershipView.ServerState, at: number): ServerChange {
  if (server.probeStartedAt !== undefined) {
    return unchanged({ ...server, nextProbeAt: at });
  }
  return {
    server: { ...server, probeStartedAt: at },
    effects: [{ kind: effect.MembershipEffectKind.Probe, serverId: server.machine.id }],
  };
}

/** Marks a server as leaving after an observation of this daemon, and reports it to the peers at once. */
export function markLeaving(
  server: membershipView.ServerState,
  at: number,
  incarnation: string | undefined,
  source = membershipView.LeavingSource.Own,
): ServerChange {
  const mark = server.leaving;
  const { Answer, Own } = membershipView.LeavingSource;
  // A late answer of an earlier run must not replace the mark of the present one.
  if (incarnation !== undefined && incarnation === server.previousIncarnation) {
    return unchanged(server);
  }
  const isEnough = mark?.source === Own || source === Answer;
  if (mark !== undefined && isEnough && mark.incarnation === incarnation) {
    return unchanged(server);
  }
  const leaving = { incarnation, source, markedAt: at, reportedAt: at };
  return { server: { ...server, leaving }, effects: [leavingReport(server, incarnation)] };
}

/** The broadcast that a server is leaving. */
export function leavingReport(
  server: membershipView.ServerState,
  incarnation: string | undefined,
): effect.MembershipEffect {
  return reportOf(report.ReportKind.Leaving, server, incarnation);
}

/** Updates the incarnation of a server. A change means that the earlier process has ended. */
export function observeIncarnation(
  server: membershipView.ServerState,
  incarnation: string,
): ServerChange {
  const current = server.incarnation;
  const isPrevious = incarnation === server.previousIncarnation;
  if (incarnation === current || isPrevious) {
    return unchanged(server);
  }
  const wasDead = server.condition === membershipView.ServerCondition.Dead;
  const pausedUntil = current === undefined ? server.pausedUntil : undefined;
  const next = { ...server, incarnation, previousIncarnation: current, pausedUntil };
  const lostRequests = current !== undefined && !wasDead;
  return { server: next, effects: lostRequests ? [crashed(server)] : [] };
}

/** The effect that all requests on a server are lost. */
export function crashed(
  server: membershipView.ServerState,
  details: Pick<effect.ServerCrashed, 'isProcessAlive' | 'isDead'> = {},
): effect.MembershipEffect {
  const kind = effect.MembershipEffectKind.ServerCrashed;
  return { kind, serverId: server.machine.id, ...details };
}

/** The broadcast that makes the peers probe a server too. */
export function suspicionReport(server: membershipView.ServerState): effect.MembershipEffect {
  return reportOf(report.ReportKind.Suspected, server, server.incarnation);
}

function reportOf(
  kind: report.ReportKind,
  server: membershipView.ServerState,
  incarnation: string | undefined,
): effect.MembershipEffect {
  const serverId = server.machine.id;
  return {
    kind: effect.MembershipEffectKind.ReportToPeers,
    report: incarnation === undefined ? { kind, serverId } : { kind, serverId, incarnation },
  };
}
