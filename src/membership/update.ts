import * as immutable from 'immutable';
import * as backend from '../backend';
import * as transaction from '../transaction';
import type * as effect from './effect';
import * as event from './event';
import * as membershipView from './membership-view';
import * as probeOutcome from './probe-outcome';
import * as report from './report';
import * as serverChange from './server-change';

type Step = transaction.Transaction<membershipView.MembershipView, effect.MembershipEffect>;

/**
 * Merges one observation into the view.
 *
 * @example
 * const step = membership.update(view, { kind: MembershipEventKind.ConnectionFailed, at, serverId });
 */
export function update(view: membershipView.MembershipView, observed: event.MembershipEvent): Step {
  const { MembershipEventKind } = event;
  switch (observed.kind) {
    case MembershipEventKind.ListRead:
      return readList(view, observed);
    case MembershipEventKind.Tick:
      return tick(view, observed.at);
    case MembershipEventKind.PeerReported:
      return changeOne(view, observed.report.serverId, (server) =>
        hearPeer(server, observed.report, observed.at),
      );
    default:
      return changeOne(view, observed.serverId, (server) =>
        observe(server, observed, routineInterval(view)),
      );
  }
}

function observe(
  server: membershipView.ServerState,
  observed: Exclude<event.MembershipEvent, event.ListRead | event.Tick | event.PeerReported>,
  routineMilliseconds: number,
): serverChange.ServerChange {
  const { MembershipEventKind } = event;
  switch (observed.kind) {
    case MembershipEventKind.RefusedAsLeaving:
      return serverChange.markLeaving(server, observed.at, server.incarnation);
    case MembershipEventKind.Refused:
      return probeRefusing(server, observed.at, Number.isFinite(routineMilliseconds));
    case MembershipEventKind.ConnectionFailed:
      return suspect(server, observed.at);
    case MembershipEventKind.AnswerMalformed:
      return distrust(server, observed.at);
    case MembershipEventKind.IncarnationObserved:
      return serverChange.observeIncarnation(server, observed.incarnation);
    case MembershipEventKind.ProbeSucceeded:
      return probeOutcome.succeeded(server, observed, routineMilliseconds);
    default:
      return probeOutcome.failed(server, observed, routineMilliseconds);
  }
}

function readList(view: membershipView.MembershipView, list: event.ListRead): Step {
  const changes = list.machines.map((machine, index) => {
    const known = view.servers.get(machine.id);
    const firstProbeAt = view.probesPeriodically
      ? list.at + index * PROBE_SPACING_MILLISECONDS
      : Number.POSITIVE_INFINITY;
    const server =
      known === undefined || hasMoved(known.machine, machine)
        ? serverChange.newServer(machine, firstProbeAt)
        : takeListed(known, machine);
    return serverChange.then(listed(server, list), (next) =>
      machine.incarnation === undefined
        ? serverChange.unchanged(next)
        : serverChange.observeIncarnation(next, machine.incarnation),
    );
  });
  const servers = immutable.Map(changes.map(({ server }) => [server.machine.id, server]));
  return transaction.create(
    view,
    { ...view, servers },
    changes.flatMap((change) => change.effects),
  );
}

/** A weights version that the list shows for the first time is newer than that of an earlier probe. */
function takeListed(
  known: membershipView.ServerState,
  machine: backend.MachineRecord,
): membershipView.ServerState {
  const isNew =
    machine.weightsVersion !== known.machine.weightsVersion ||
    machine.loading !== known.machine.loading;
  return isNew
    ? { ...known, machine, weightsVersion: machine.weightsVersion, loading: undefined }
    : { ...known, machine };
}

/** Time between two probes of a server that nobody suspects. */
function routineInterval({
  probesPeriodically: probesRoutinely,
  servers,
}: membershipView.MembershipView): number {
  return probesRoutinely
    ? Math.max(PROBE_INTERVAL_MILLISECONDS, servers.size * INTERVAL_PER_SERVER_MILLISECONDS)
    : Number.POSITIVE_INFINITY;
}

/** Tells the peers when the list shows a server as leaving: their copy of the list may be older. */
function listed(
  server: membershipView.ServerState,
  list: event.ListRead,
): serverChange.ServerChange {
  return server.machine.phase === backend.MachinePhase.Leaving
    ? serverChange.markLeaving(server, list.at, server.incarnation)
    : serverChange.unchanged(server);
}

function hasMoved(known: backend.MachineRecord, machine: backend.MachineRecord): boolean {
  return known.host !== machine.host || known.port !== machine.port;
}

/** A failed connection alone does not mean that a server is dead: a probe decides. */
function suspect(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const { Alive, Suspected } = membershipView.ServerCondition;
  if (server.condition !== Alive) {
    return serverChange.unchanged(server);
  }
  const suspected = { ...server, condition: Suspected, suspectedAt: at };
  const probing = serverChange.probeNow(suspected, at);
  return { ...probing, effects: [...probing.effects, serverChange.suspicionReport(server)] };
}

/**
 * Load pattern: a server that sends malformed answers at once looks idle and draws all requests, while its probes are
 * answered well. From the second faulty answer on it is used only when no other server is left, until a probe
 * after a pause; the pause grows while the faults go on.
 */
function distrust(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const { Dead, Suspected } = membershipView.ServerCondition;
  const { faults = 0, faultAt = Number.NEGATIVE_INFINITY } = server;
  const isPaused = server.condition === Suspected && at < server.suspectedAt;
  if (isPaused || server.condition === Dead) {
    return serverChange.unchanged(server);
  }
  const isRepeated = at - faultAt <= FAULT_MEMORY_MILLISECONDS;
  const counted = { ...server, faults: isRepeated ? faults + 1 : 1, faultAt: at };
  if (!isRepeated) {
    return suspect(counted, at);
  }
  const pause = Math.min(FIRST_PAUSE_MILLISECONDS * 2 ** (faults - 1), LONGEST_PAUSE_MILLISECONDS);
  return serverChange.unchanged({
    ...counted,
    condition: Suspected,
    suspectedAt: at + pause,
    nextProbeAt: at + pause,
  });
}

/**
 * Finds out why a server refuses. An overloaded one refuses often, so the probes are rationed. Where the list
 * tells about weights, it probably does so soon, and the engine is only left alone until then.
 */
function probeRefusing(
  server: membershipView.ServerState,
  at: number,
  probesRoutinely: boolean,
): serverChange.ServerChange {
  const { refusedAt = Number.NEGATIVE_INFINITY } = server;
  if (!probesRoutinely) {
    const isEngine = server.machine.kind === backend.BackendKind.ModelEngine;
    const nextProbeAt = Math.min(server.nextProbeAt, at + REFUSAL_PAUSE_MILLISECONDS);
    return serverChange.unchanged(isEngine ? { ...server, loading: true, nextProbeAt } : server);
  }
  return at - refusedAt < REFUSAL_PROBE_MILLISECONDS
    ? serverChange.unchanged(server)
    : serverChange.probeNow({ ...server, refusedAt: at }, at);
}

function hearPeer(
  server: membershipView.ServerState,
  heard: report.MembershipReport,
  at: number,
): serverChange.ServerChange {
  if (heard.incarnation !== undefined && heard.incarnation === server.previousIncarnation) {
    return serverChange.unchanged(server);
  }
  if (heard.kind === report.ReportKind.Suspected) {
    return serverChange.probeNow(server, at);
  }
  if (server.leaving !== undefined && server.leaving.incarnation === heard.incarnation) {
    return serverChange.unchanged(server);
  }
  const leaving = {
    incarnation: heard.incarnation ?? server.incarnation,
    source: membershipView.LeavingSource.Peer,
    markedAt: at,
    reportedAt: at,
  };
  return serverChange.unchanged({ ...server, leaving });
}

/** Starts the probes that are due and repeats this daemon's leaving reports, since broadcasts get lost. */
function tick(view: membershipView.MembershipView, at: number): Step {
  const effects: effect.MembershipEffect[] = [];
  const servers = view.servers.withMutations((mutable) => {
    view.servers.forEach((server, id) => {
      const change = serverChange.then(probeIfDue(server, at), (next) => repeatReport(next, at));
      effects.push(...change.effects);
      mutable.set(id, change.server);
    });
  });
  return transaction.create(view, servers === view.servers ? view : { ...view, servers }, effects);
}

function probeIfDue(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const isRunning = server.probeStartedAt !== undefined;
  const isDue = server.nextProbeAt <= at;
  return isDue && !isRunning ? serverChange.probeNow(server, at) : serverChange.unchanged(server);
}

function repeatReport(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const mark = server.leaving;
  const isOwn = mark?.source === membershipView.LeavingSource.Own;
  if (!isOwn || at - mark.reportedAt < REPORT_REPEAT_MILLISECONDS) {
    return serverChange.unchanged(server);
  }
  return {
    server: { ...server, leaving: { ...mark, reportedAt: at } },
    effects: [serverChange.leavingReport(server, mark.incarnation)],
  };
}

function changeOne(
  view: membershipView.MembershipView,
  serverId: string,
  change: (server: membershipView.ServerState) => serverChange.ServerChange,
): Step {
  const known = view.servers.get(serverId);
  if (known === undefined) {
    return transaction.create<membershipView.MembershipView, effect.MembershipEffect>(view, view);
  }
  const { server, effects } = change(known);
  const next = server === known ? view : { ...view, servers: view.servers.set(serverId, server) };
  return transaction.create(view, next, effects);
}

// A daemon that can neither read the list nor hear its peers learns of a leaving server by probe; the
// last new work must have been sent within 3 s.
const PROBE_INTERVAL_MILLISECONDS = 1_000;

// Bounds the probes of one daemon to 40 a second, each on a new connection. Suspicions are probed at once.
const INTERVAL_PER_SERVER_MILLISECONDS = 25;

// A daemon that starts among thousands of backend servers must not open all connections at once.
const PROBE_SPACING_MILLISECONDS = 5;

// About the time in which the platform replaces a faulty server; one fault in this time is an accident.
const FAULT_MEMORY_MILLISECONDS = 20_000;

// A request sent once more costs a tenth of the retry budget of a second.
const FIRST_PAUSE_MILLISECONDS = 1_000;

const LONGEST_PAUSE_MILLISECONDS = 8_000;

// Without a probe, a server that loads weights looks idle and draws requests that it refuses.
const REFUSAL_PROBE_MILLISECONDS = 200;

// The control leader tells a change of weights within 100 ms.
const REFUSAL_PAUSE_MILLISECONDS = 400;

// A leaving server must get its last new work within 3 s even when one or two broadcasts are lost.
const REPORT_REPEAT_MILLISECONDS = 1_000;
