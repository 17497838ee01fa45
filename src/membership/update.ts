import * as backend from '../backend';
import * as transaction from '../transaction';
import type * as effect from './effect';
import * as event from './event';
import * as leavingMarks from './leaving';
import * as membershipView from './membership-view';
import * as probeOutcome from './probe-outcome';
import * as report from './report';
import * as serverChange from './server-change';
import * as serverPause from './server-pause';

type Step = transaction.Transaction<membershipView.MembershipView, effect.MembershipEffect>;

/**
 * Applies one event to the view.
 *
 * @example
 * const step = membership.update(view, { kind: MembershipEventKind.ConnectionFailed, at, serverId });
 */
export function update(
  view: membershipView.MembershipView,
  membershipEvent: event.MembershipEvent,
): Step {
  const { MembershipEventKind } = event;
  switch (membershipEvent.kind) {
    case MembershipEventKind.ListRead:
      return readList(view, membershipEvent);
    case MembershipEventKind.Tick:
      return tick(view, membershipEvent.at);
    case MembershipEventKind.PeerReported:
      return changeOne(view, membershipEvent.report.serverId, (server) =>
        applyPeerReport(server, membershipEvent.report, membershipEvent.at),
      );
    case MembershipEventKind.AnsweredAsLeaving:
      return view.servers.has(membershipEvent.serverId)
        ? observe(view, membershipEvent)
        : transaction.create(view, leavingMarks.markUnlisted(view, membershipEvent), []);
    default:
      return observe(view, membershipEvent);
  }
}

type Observation = Exclude<event.MembershipEvent, event.ListRead | event.Tick | event.PeerReported>;

function observe(view: membershipView.MembershipView, observed: Observation): Step {
  return changeOne(view, observed.serverId, (server) =>
    applyObservation(server, observed, probeInterval(view)),
  );
}

function applyObservation(
  server: membershipView.ServerState,
  observed: Observation,
  intervalMilliseconds: number,
): serverChange.ServerChange {
  const { MembershipEventKind } = event;
  switch (observed.kind) {
    case MembershipEventKind.RefusedAsLeaving:
      return serverChange.markLeaving(server, observed.at, server.incarnation);
    case MembershipEventKind.AnsweredAsLeaving:
      return leavingMarks.markAnswered(server, observed);
    case MembershipEventKind.Refused:
      return probeRefusing(server, observed.at, Number.isFinite(intervalMilliseconds));
    case MembershipEventKind.Paused:
      return serverPause.pause(server, observed);
    case MembershipEventKind.ConnectionFailed:
      return suspect(server, observed.at);
    case MembershipEventKind.AnswerMalformed:
      return countMalformedAnswer(server, observed.at);
    case MembershipEventKind.IncarnationObserved:
      return serverChange.observeIncarnation(server, observed.incarnation);
    case MembershipEventKind.ProbeSucceeded:
      return probeOutcome.succeeded(server, observed, intervalMilliseconds);
    default:
      return probeOutcome.failed(server, observed, intervalMilliseconds);
  }
}

/**
 * Applies a list. Servers whose record is the same object keep their state: during a roll-out each of hundreds of
 * daemons gets several lists a second that differ in one server.
 */
function readList(view: membershipView.MembershipView, list: event.ListRead): Step {
  const effects: effect.MembershipEffect[] = [];
  const unlisted: membershipView.ServerState[] = [];
  const listed = new Set(list.machines.map(({ id }) => id));
  const servers = view.servers.withMutations((mutable) => {
    view.servers.forEach((server, id) => {
      if (!listed.has(id)) {
        mutable.delete(id);
        unlisted.push(server);
      }
    });
    list.machines.forEach((machine, index) => {
      if (view.servers.get(machine.id)?.machine !== machine) {
        const change = applyRecord(view, list, machine, index);
        mutable.set(machine.id, change.server);
        effects.push(...change.effects);
      }
    });
  });
  const removed = leavingMarks.removedMarks(view.removed, unlisted, listed, list.at);
  const isSame = servers === view.servers && removed === view.removed;
  return transaction.create(view, isSame ? view : { ...view, servers, removed }, effects);
}

function applyRecord(
  view: membershipView.MembershipView,
  list: event.ListRead,
  machine: backend.MachineRecord,
  index: number,
): serverChange.ServerChange {
  const existing = view.servers.get(machine.id);
  const firstProbeAt = view.probesPeriodically
    ? list.at + index * PROBE_SPACING_MILLISECONDS
    : Number.POSITIVE_INFINITY;
  const server =
    existing === undefined || leavingMarks.hasMoved(existing.machine, machine)
      ? leavingMarks.withRemovedMark(
          serverChange.newServer(machine, firstProbeAt),
          view.removed.get(machine.id),
          list.at,
        )
      : updateMachine(existing, machine);
  return serverChange.then(reportIfListedAsLeaving(server, list), (next) =>
    machine.incarnation === undefined
      ? serverChange.unchanged(next)
      : serverChange.observeIncarnation(next, machine.incarnation),
  );
}

/** A weights version or a loading state that is new in the list is newer than that of an earlier probe. */
function updateMachine(
  server: membershipView.ServerState,
  machine: backend.MachineRecord,
): membershipView.ServerState {
  const isNew =
    machine.weightsVersion !== server.machine.weightsVersion ||
    machine.loading !== server.machine.loading;
  return isNew
    ? {
        ...server,
        machine,
        weightsVersion: machine.weightsVersion ?? knownVersion(server, machine),
        loading: undefined,
        isLoadingPresumed: undefined,
      }
    : { ...server, machine };
}

/**
 * The version that is known of the same process. An entry without one does not tell that the weights have changed, and a server
 * with other weights refuses; of another process nothing is known.
 */
function knownVersion(
  { machine: previous, weightsVersion }: membershipView.ServerState,
  { incarnation }: backend.MachineRecord,
): string | undefined {
  const isSameProcess = incarnation !== undefined && incarnation === previous.incarnation;
  return isSameProcess ? (weightsVersion ?? previous.weightsVersion) : undefined;
}

/** Time between two probes of a server that is not suspected. */
function probeInterval({ probesPeriodically, servers }: membershipView.MembershipView): number {
  return probesPeriodically
    ? Math.max(PROBE_INTERVAL_MILLISECONDS, servers.size * INTERVAL_PER_SERVER_MILLISECONDS)
    : Number.POSITIVE_INFINITY;
}

/**
 * Reports a server that is leaving according to the list to the peers: their copy of the list may be older.
 */
function reportIfListedAsLeaving(
  server: membershipView.ServerState,
  list: event.ListRead,
): serverChange.ServerChange {
  return server.machine.phase === backend.MachinePhase.Leaving
    ? serverChange.markLeaving(server, list.at, server.incarnation)
    : serverChange.unchanged(server);
}

/**
 * Suspects a server after a failed connection, which alone does not mean that it is dead: a probe decides.
 */
function suspect(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const { Alive, Suspected } = membershipView.ServerCondition;
  if (server.condition !== Alive) {
    return serverChange.unchanged(server);
  }
  return serverChange.probeNow({ ...server, condition: Suspected, suspectedAt: at }, at);
}

/**
 * Handles a malformed answer. A server that sends malformed answers at once looks idle and attracts all
 * requests, while it answers its probes correctly. From the second malformed answer on it is used only when
 * no other server is left, until a probe after a pause; the pause grows while malformed answers continue.
 */
function countMalformedAnswer(
  server: membershipView.ServerState,
  at: number,
): serverChange.ServerChange {
  const { Dead, Suspected } = membershipView.ServerCondition;
  const { malformedAnswers = 0, malformedAnswerAt = Number.NEGATIVE_INFINITY } = server;
  const isPaused = server.condition === Suspected && at < server.suspectedAt;
  if (isPaused || server.condition === Dead) {
    return serverChange.unchanged(server);
  }
  const isRepeated = at - malformedAnswerAt <= MALFORMED_ANSWER_WINDOW_MILLISECONDS;
  const counted = {
    ...server,
    malformedAnswers: isRepeated ? malformedAnswers + 1 : 1,
    malformedAnswerAt: at,
  };
  if (!isRepeated) {
    return suspect(counted, at);
  }
  const pause = Math.min(
    FIRST_PAUSE_MILLISECONDS * 2 ** (malformedAnswers - 1),
    LONGEST_PAUSE_MILLISECONDS,
  );
  return serverChange.unchanged({
    ...counted,
    condition: Suspected,
    suspectedAt: at + pause,
    nextProbeAt: at + pause,
  });
}

/**
 * Probes a server that refuses a request, to find out why. An overloaded server refuses often, so the rate of
 * these probes is limited. Without probes at intervals, the list contains the state of the weights and will
 * probably soon show that the engine loads some; until then the engine is not used. A server that asks for a pause has said why.
 */
function probeRefusing(
  server: membershipView.ServerState,
  at: number,
  probesPeriodically: boolean,
): serverChange.ServerChange {
  if (serverPause.isPaused(server, at)) {
    return serverChange.unchanged(server);
  }
  const { refusedAt = Number.NEGATIVE_INFINITY } = server;
  if (!probesPeriodically) {
    const isEngine = server.machine.kind === backend.BackendKind.ModelEngine;
    const nextProbeAt = Math.min(server.nextProbeAt, at + REFUSAL_PAUSE_MILLISECONDS);
    const isKnown = server.machine.loading === true || server.loading === true;
    const isLoadingPresumed = isKnown ? server.isLoadingPresumed : true;
    return serverChange.unchanged(
      isEngine ? { ...server, loading: true, isLoadingPresumed, nextProbeAt } : server,
    );
  }
  return at - refusedAt < REFUSAL_PROBE_MILLISECONDS
    ? serverChange.unchanged(server)
    : serverChange.probeNow({ ...server, refusedAt: at }, at);
}

function applyPeerReport(
  server: membershipView.ServerState,
  received: report.MembershipReport,
  at: number,
): serverChange.ServerChange {
  if (received.incarnation !== undefined && received.incarnation === server.previousIncarnation) {
    return serverChange.unchanged(server);
  }
  if (received.kind === report.ReportKind.Suspected) {
    return serverChange.probeNow(server, at);
  }
  const isKnown =
    server.leaving !== undefined && server.leaving.incarnation === received.incarnation;
  if (isKnown || leavingMarks.isMarkedByAnswer(server)) {
    return serverChange.unchanged(server);
  }
  const leaving = {
    incarnation: received.incarnation ?? server.incarnation,
    source: membershipView.LeavingSource.Peer,
    markedAt: at,
    reportedAt: at,
  };
  return serverChange.unchanged(leavingMarks.scheduleProbe({ ...server, leaving }, at));
}

/** Starts the probes that are due and repeats this daemon's leaving reports, since broadcasts get lost. */
function tick(view: membershipView.MembershipView, at: number): Step {
  const effects: effect.MembershipEffect[] = [];
  const servers = view.servers.withMutations((mutable) => {
    view.servers
      .filter((server) => dueAt(server) <= at)
      .forEach((server, id) => {
        const change = serverChange.then(probeIfDue(server, at), (next) => repeatReport(next, at));
        effects.push(...change.effects);
        mutable.set(id, change.server);
      });
  });
  return transaction.create(view, servers === view.servers ? view : { ...view, servers }, effects);
}

/**
 * Monotonic time in milliseconds of the first tick that does anything; infinite if there is none until the view changes.
 *
 * @example
 * setTimer(membership.nextTickAt(view) - now, tick);
 */
export function nextTickAt(view: membershipView.MembershipView): number {
  return view.servers.reduce(
    (earliest, server) => Math.min(earliest, dueAt(server)),
    Number.POSITIVE_INFINITY,
  );
}

/** The next probe or the next report that a server is leaving, whichever comes first. */
function dueAt(server: membershipView.ServerState): number {
  const { probeStartedAt, leaving } = server;
  return Math.min(
    probeStartedAt === undefined ? serverPause.probeDueAt(server) : Number.POSITIVE_INFINITY,
    leaving?.source === membershipView.LeavingSource.Own
      ? leaving.reportedAt + REPORT_INTERVAL_MILLISECONDS
      : Number.POSITIVE_INFINITY,
  );
}

function probeIfDue(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const isRunning = server.probeStartedAt !== undefined;
  const isDue = serverPause.probeDueAt(server) <= at;
  return isDue && !isRunning ? serverChange.probeNow(server, at) : serverChange.unchanged(server);
}

function repeatReport(server: membershipView.ServerState, at: number): serverChange.ServerChange {
  const mark = server.leaving;
  const isOwn = mark?.source === membershipView.LeavingSource.Own;
  if (!isOwn || at - mark.reportedAt < REPORT_INTERVAL_MILLISECONDS) {
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
  const current = view.servers.get(serverId);
  if (current === undefined) {
    return transaction.create<membershipView.MembershipView, effect.MembershipEffect>(view, view);
  }
  const { server, effects } = change(current);
  const next = server === current ? view : { ...view, servers: view.servers.set(serverId, server) };
  return transaction.create(view, next, effects);
}

// A daemon that can neither read the list nor receive reports of its peers detects a leaving server by
// probes; the last new request must have been sent within 3 s.
const PROBE_INTERVAL_MILLISECONDS = 1_000;

// Limits the probes of one daemon to 40 a second, each on a new connection. Suspected servers are probed at
// once.
const INTERVAL_PER_SERVER_MILLISECONDS = 25;

// A daemon that starts among thousands of backend servers must not open all connections at once.
const PROBE_SPACING_MILLISECONDS = 5;

// About the time in which the platform replaces a faulty server; a single malformed answer in this time
// leads only to a probe, because it may be a one-off.
const MALFORMED_ANSWER_WINDOW_MILLISECONDS = 20_000;

// Sending one request again costs a tenth of the retry budget of a second.
const FIRST_PAUSE_MILLISECONDS = 1_000;

const LONGEST_PAUSE_MILLISECONDS = 8_000;

// Without a probe, a server that loads weights looks idle and attracts requests that it refuses.
const REFUSAL_PROBE_MILLISECONDS = 200;

// The control leader sends a change of weights within 100 ms.
const REFUSAL_PAUSE_MILLISECONDS = 400;

// A leaving server must get its last new request within 3 s even when one or two broadcasts are lost.
const REPORT_INTERVAL_MILLISECONDS = 1_000;
