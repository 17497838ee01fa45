import * as control from '../control';
import * as decision from '../decision';
import * as health from '../health';
import * as logging from '../logging';
import * as stateExchange from './state-exchange';
import * as evidenceMessage from './crash-evidence-message';

/**
 * Load pattern: requests with one part of a prompt crash each engine that begins to answer them, and come through many
 * daemons, so that each daemon sees a first crash. Each daemon reports to the control leader what was in flight at a crash
 * and which suspected parts have begun safely; the leader broadcasts what was in flight at several crashes.
 */
export class CrashEvidenceExchange extends stateExchange.StateExchange {
  /** What this daemon has seen lately. */
  private own: evidenceMessage.EvidenceReport = NO_EVIDENCE;

  /** What this daemon has heard of all daemons; a new leader starts with it. */
  private fleet = health.EMPTY_CRASH_EVIDENCE;

  /** Causes that began safely after crashes that daemons still count for them. */
  private cleared: readonly health.SafeBegin[] = [];

  /** The suspected causes in the last log line, as text. */
  private loggedCauses = '';

  constructor(
    ports: stateExchange.StateExchangePorts,
    private readonly onEvidence: (report: evidenceMessage.EvidenceReport) => void,
  ) {
    super(ports, control.PeerTopic.CrashEvidence);
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
    this.stateChanged();
  }

  protected override receive(payload: unknown): void {
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
      this.stateChanged();
    }
  }

  /** Returns whether the report changed what is suspected. */
  private merge({ crashes, safeBegins }: evidenceMessage.EvidenceReport): boolean {
    const before = this.fleet.suspicions;
    const told = new Set(health.suspectedCrashes(this.fleet).flatMap(({ causes }) => causes));
    const merged = crashes.reduce(
      health.addCrash,
      safeBegins.reduce(health.addSafeBegin, this.fleet),
    );
    this.fleet = health.pruneCrashEvidence(merged, this.ports.time.monotonic());
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

  protected override ownMessage(now: number): object | undefined {
    this.removeExpired(now);
    return isEmpty(this.own)
      ? undefined
      : evidenceMessage.encode(evidenceMessage.EvidenceSender.Daemon, this.own, now);
  }

  protected override leaderMessage(now: number): object | undefined {
    this.removeExpired(now);
    this.merge(this.own);
    const report = { crashes: health.suspectedCrashes(this.fleet), safeBegins: this.cleared };
    return isEmpty(report)
      ? undefined
      : evidenceMessage.encode(evidenceMessage.EvidenceSender.Leader, report, now);
  }

  private removeExpired(now: number): void {
    const isRecent = ({ at }: { readonly at: number }) =>
      now - at <= stateExchange.RECENT_MILLISECONDS;
    this.own = {
      crashes: this.own.crashes.filter(isRecent),
      safeBegins: this.own.safeBegins.filter(isRecent),
    };
    this.cleared = this.cleared.filter(isRecent);
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
}

function isEmpty({ crashes, safeBegins }: evidenceMessage.EvidenceReport): boolean {
  return crashes.length === 0 && safeBegins.length === 0;
}

const logger = new logging.Logger('crash-evidence');

const NO_EVIDENCE: evidenceMessage.EvidenceReport = { crashes: [], safeBegins: [] };

const MAXIMUM_LOGGED_CAUSES = 8;
