import * as clock from '../clock';
import * as control from '../control';
import * as decision from '../decision';
import * as health from '../health';
import * as logging from '../logging';
import * as evidenceMessage from './crash-evidence-message';

/** Dependencies of the exchange. */
export interface EvidencePorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'broadcast' | 'sendToLeader' | 'onBroadcast'
  >;
  readonly time: clock.Clock;
}

/**
 * Load pattern: requests with one part of a prompt crash each engine that begins to answer them, and come through many
 * daemons, so that each daemon sees a first crash. Each daemon reports to the control leader what was in flight at a crash
 * and which suspected parts have begun safely; the leader broadcasts what was in flight at several crashes. Messages contain
 * all recent evidence and are repeated, so that a lost one or a new leader costs no more than the pause between two.
 */
export class CrashEvidenceExchange {
  /** What this daemon has seen lately. */
  private own: evidenceMessage.EvidenceReport = NO_EVIDENCE;

  /** What this daemon has heard of all daemons; a new leader starts with it. */
  private fleet = health.EMPTY_CRASH_EVIDENCE;

  /** Causes that began safely after crashes that daemons still count for them. */
  private cleared: readonly health.SafeBegin[] = [];

  private timer: clock.Timer | undefined;

  private timerAt = Number.POSITIVE_INFINITY;

  /** The suspected causes in the last log line, as text. */
  private loggedCauses = '';

  private readonly unsubscribe: () => void;

  constructor(
    private readonly ports: EvidencePorts,
    private readonly onEvidence: (report: evidenceMessage.EvidenceReport) => void,
  ) {
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.CrashEvidence, (payload) =>
      this.receive(payload),
    );
  }

  /** Adds what this daemon has seen; it is sent within some tens of milliseconds. */
  report(effect: decision.ReportCrash | decision.ReportSafeBegin): void {
    const { crashes, safeBegins } = this.own;
    if (effect.kind === decision.DecisionEffectKind.ReportCrash) {
      const { serverId, causes } = effect;
      const crash = { serverId, at: this.ports.time.monotonic(), causes };
      this.own = { crashes: [...crashes, crash], safeBegins };
    } else {
      const begun = effect.causes.map((cause) => ({ cause, at: effect.at }));
      const others = safeBegins.filter(({ cause }) => !effect.causes.includes(cause));
      this.own = { crashes, safeBegins: [...others, ...begun] };
    }
    this.schedule(COLLECTION_MILLISECONDS);
  }

  close(): void {
    this.unsubscribe();
    this.timer?.cancel();
  }

  private receive(payload: unknown): void {
    const message = evidenceMessage.decode(payload, this.ports.time.monotonic());
    if (message === undefined) {
      logger.warning('crash evidence of a peer is malformed; it is ignored');
      return;
    }
    const { from, report } = message;
    if (from === evidenceMessage.EvidenceSender.Leader) {
      this.merge(report);
      this.onEvidence(report);
    } else if (this.isLeader && this.merge(report)) {
      this.schedule(COLLECTION_MILLISECONDS);
    }
  }

  private get isLeader(): boolean {
    return this.ports.plane.leadership().role === control.ReplicaRole.Leader;
  }

  /** Returns whether the report changed what is suspected. */
  private merge({ crashes, safeBegins }: evidenceMessage.EvidenceReport): boolean {
    const before = this.fleet.suspicions;
    const told = new Set(health.suspectedCrashes(this.fleet).flatMap(({ causes }) => causes));
    this.fleet = crashes.reduce(
      health.addCrash,
      safeBegins.reduce(health.addSafeBegin, this.fleet),
    );
    const cleared = [
      ...safeBegins.filter(({ cause }) => told.has(cause)),
      ...health.disproved(this.fleet, crashes),
    ].filter((begun) => this.isNews(begun));
    const causes = new Set(cleared.map(({ cause }) => cause));
    this.cleared = [...this.cleared.filter(({ cause }) => !causes.has(cause)), ...cleared];
    this.logSuspected();
    return cleared.length > 0 || !before.equals(this.fleet.suspicions);
  }

  private isNews({ cause, at }: health.SafeBegin): boolean {
    return !this.cleared.some((other) => other.cause === cause && other.at >= at);
  }

  /** Sends all recent evidence, and sends it again later as long as there is some. */
  private send(): void {
    const now = this.ports.time.monotonic();
    this.removeExpired(now);
    const { Daemon, Leader } = evidenceMessage.EvidenceSender;
    const { CrashEvidence } = control.PeerTopic;
    if (this.isLeader) {
      this.merge(this.own);
      const crashes = health.suspectedCrashes(this.fleet);
      const report = { crashes, safeBegins: this.cleared };
      if (!isEmpty(report)) {
        this.ports.plane.broadcast(CrashEvidence, evidenceMessage.encode(Leader, report, now));
        this.schedule(REPEAT_MILLISECONDS);
      }
    } else if (!isEmpty(this.own)) {
      const message = evidenceMessage.encode(Daemon, this.own, now);
      const isSent = this.ports.plane.sendToLeader(CrashEvidence, message);
      this.schedule(isSent ? REPEAT_MILLISECONDS : RETRY_MILLISECONDS);
    }
  }

  private removeExpired(now: number): void {
    const isRecent = ({ at }: { readonly at: number }) => now - at <= RECENT_MILLISECONDS;
    this.own = {
      crashes: this.own.crashes.filter(isRecent),
      safeBegins: this.own.safeBegins.filter(isRecent),
    };
    this.cleared = this.cleared.filter(isRecent);
    this.fleet = health.pruneCrashEvidence(this.fleet, now);
  }

  private logSuspected(): void {
    const causes = [...this.fleet.suspicions.keys()]
      .map((cause) => ({ cause, crashes: health.crashCount(this.fleet, cause) }))
      .filter(({ crashes }) => crashes > 1)
      .sort((left, right) => right.crashes - left.crashes)
      .slice(0, MAXIMUM_LOGGED_CAUSES);
    const text = causes.map(({ cause, crashes }) => `${cause}: ${crashes}`).join(', ');
    if (text !== this.loggedCauses) {
      this.loggedCauses = text;
      logger.information('causes in flight at several crashes changed', { causes: text });
    }
  }

  /** Sends after the given time, unless it will send earlier. */
  private schedule(milliseconds: number): void {
    const at = this.ports.time.monotonic() + milliseconds;
    if (at >= this.timerAt) {
      return;
    }
    this.timer?.cancel();
    this.timerAt = at;
    this.timer = this.ports.time.setTimer(milliseconds, () => {
      this.timerAt = Number.POSITIVE_INFINITY;
      this.send();
    });
  }
}

function isEmpty({ crashes, safeBegins }: evidenceMessage.EvidenceReport): boolean {
  return crashes.length === 0 && safeBegins.length === 0;
}

const logger = new logging.Logger('crash-evidence');

const NO_EVIDENCE: evidenceMessage.EvidenceReport = { crashes: [], safeBegins: [] };

/** Several requests of a daemon are lost at one crash within this time. */
const COLLECTION_MILLISECONDS = 50;

/** Until there is a link to the leader, which is elected within a second. */
const RETRY_MILLISECONDS = 200;

const REPEAT_MILLISECONDS = 2_000;

/** A new leader is elected, and a lost link opened again, well within this time. */
const RECENT_MILLISECONDS = 8_000;

const MAXIMUM_LOGGED_CAUSES = 8;
