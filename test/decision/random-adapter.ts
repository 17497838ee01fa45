import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

/** Kind of one step of a random history. */
export enum ActionKind {
  Arrive = 'arrive',
  Answer = 'answer',
  Piece = 'piece',
  Finish = 'finish',
  Fail = 'fail',
  Cancel = 'cancel',
  Crash = 'crash',
  Servers = 'servers',
  Load = 'load',
  Report = 'report',
  Wait = 'wait',
}

export const ACTIONS = [
  ...Object.values(ActionKind),
  // These make most histories have running requests.
  ActionKind.Arrive,
  ActionKind.Arrive,
  ActionKind.Wait,
  ActionKind.Fail,
];

export interface Action {
  readonly kind: ActionKind;
  readonly pick: number;
  readonly detail: number;
}

interface CheckedRequest {
  readonly profile: decision.RequestProfile;
  mayHaveRun: boolean;
  ends: number;
}

const SLOTS = 4;
const SERVERS = 4;
const FINGERPRINTS = 6;

/** Acts as the adapter of a decision core with random events, and records every violated invariant. */
export class RandomAdapter {
  readonly driver = builder.createDriver(SERVERS, SLOTS);

  readonly effects: decision.DecisionEffect[] = [];

  readonly repeatedRuns: string[] = [];

  readonly endedTwice: string[] = [];

  readonly falseNotRun: string[] = [];

  readonly ineligible: string[] = [];

  readonly overfull: string[] = [];

  readonly quarantineViolations: string[] = [];

  private readonly requests = new Map<string, CheckedRequest>();

  private readonly runningAttempts = new Map<string, decision.Dispatch>();

  private readonly crashes = new Map<string, Set<string>>();

  /** Crashes after which an attempt with the fingerprint went on for some time at another server. */
  private readonly excused = new Map<string, Set<string>>();

  /** When the first piece of an attempt arrived. */
  private readonly firstPieces = new Map<string, number>();

  private listed = builder.listServers(SERVERS);

  private incarnations = 0;

  act({ kind, pick, detail }: Action): void {
    const attempts = [...this.runningAttempts.values()];
    const attempt = attempts[pick % Math.max(1, attempts.length)];
    const server = builder.listServers(SERVERS)[pick % SERVERS];
    switch (kind) {
      case ActionKind.Arrive:
        return this.arrive(detail);
      case ActionKind.Crash:
        return this.send({
          kind: decision.DecisionEventKind.ServerCrashed,
          at: this.driver.at,
          serverId: server.id,
        });
      case ActionKind.Servers:
        return this.changeServers(pick, detail);
      case ActionKind.Load:
        return this.load(server.id, detail);
      case ActionKind.Report:
        return this.report(pick, detail);
      case ActionKind.Wait:
        return this.wait(1 + detail * 2);
      case ActionKind.Cancel:
        return this.cancel(pick);
      default:
        return attempt === undefined ? undefined : this.answer(kind, attempt, detail);
    }
  }

  /** Requests without an end. */
  open(): string[] {
    return [...this.requests].filter(([, request]) => request.ends === 0).map(([id]) => id);
  }

  running(serverId: string): number {
    return [...this.runningAttempts.values()].filter((dispatch) => dispatch.serverId === serverId)
      .length;
  }

  /** Finishes every running attempt and advances the time until all requests have ended. */
  drain(): void {
    for (let round = 0; round < 200 && this.open().length > 0; round += 1) {
      [...this.runningAttempts.values()].forEach((attempt) =>
        this.answer(ActionKind.Finish, attempt, 0),
      );
      this.wait(500);
    }
  }

  private arrive(detail: number): void {
    const requestId = `request-${this.requests.size}`;
    const profile: decision.RequestProfile = {
      ...builder.profile(requestId, this.driver.at),
      idempotent: detail % 3 !== 0,
      team: `team-${detail % 2}`,
      class: detail % 5 === 0 ? configuration.RequestClass.Long : configuration.RequestClass.Short,
      fingerprint: `fingerprint-${detail % FINGERPRINTS}`,
      firstTokenDeadline: this.driver.at + (detail % 7) * 800,
    };
    this.requests.set(requestId, { profile, mayHaveRun: false, ends: 0 });
    this.send({ kind: decision.DecisionEventKind.RequestArrived, at: this.driver.at, profile });
  }

  private answer(kind: ActionKind, attempt: decision.Dispatch, detail: number): void {
    const { requestId, attemptId } = attempt;
    const base = { at: this.driver.at, requestId, attemptId };
    const request = this.requests.get(requestId)!;
    switch (kind) {
      case ActionKind.Answer:
        return this.send({
          ...base,
          kind: decision.DecisionEventKind.AnswerStarted,
          incarnation: this.listed.find(({ id }) => id === attempt.serverId)?.incarnation ?? 'gone',
          weightsVersion: 'v1',
          cachedTokens: detail,
          promptTokens: 2_000,
        });
      case ActionKind.Piece:
        this.recordPiece(attemptId, request.profile.fingerprint);
        return this.send({
          ...base,
          kind: decision.DecisionEventKind.PieceReceived,
          nextPiece: attempt.resumeFrom + 1 + (detail % 9),
        });
      case ActionKind.Finish:
        this.runningAttempts.delete(attemptId);
        request.ends += 1;
        this.recordFullRun(request.profile.fingerprint);
        return this.send({ ...base, kind: decision.DecisionEventKind.AttemptFinished });
      default:
        return this.fail(attempt, detail);
    }
  }

  private fail(attempt: decision.Dispatch, detail: number): void {
    const { requestId, attemptId } = attempt;
    const outcome = detail % 2 === 0 ? verdict.Verdict.MayHaveRun : verdict.Verdict.NotRun;
    const request = this.requests.get(requestId)!;
    request.mayHaveRun ||= outcome === verdict.Verdict.MayHaveRun;
    this.runningAttempts.delete(attemptId);
    this.send({
      kind: decision.DecisionEventKind.AttemptFailed,
      at: this.driver.at,
      requestId,
      attemptId,
      failure: verdict.failure(verdict.FailureReason.ConnectionLost, outcome, 'Lost.'),
    });
  }

  private cancel(pick: number): void {
    const open = this.open();
    if (open.length > 0) {
      const requestId = open[pick % open.length];
      this.requests.get(requestId)!.ends += 1;
      const kind = decision.DecisionEventKind.RequestCancelled;
      this.send({ kind, at: this.driver.at, requestId });
    }
  }

  private changeServers(pick: number, detail: number): void {
    this.incarnations += 1;
    this.listed = builder
      .listServers(SERVERS)
      .filter((_, index) => Math.floor(pick / 2 ** index) % 2 === 0)
      .map((server, index) => ({
        ...server,
        incarnation: index === detail % 9 ? `restart-${this.incarnations}` : 'first',
      }));
    const kind = decision.DecisionEventKind.ServersChanged;
    this.send({ kind, at: this.driver.at, servers: this.listed });
  }

  private load(serverId: string, detail: number): void {
    this.send({
      kind: decision.DecisionEventKind.LoadReported,
      at: this.driver.at,
      serverId,
      incarnation: 'first',
      weightsVersion: 'v1',
      ageMilliseconds: detail,
      runningRequests: detail % 5,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
    });
  }

  private report(pick: number, detail: number): void {
    const crashId = `peer-crash-${detail % 3}`;
    const fingerprints = [`fingerprint-${pick % FINGERPRINTS}`];
    const kind = decision.DecisionEventKind.QuarantineReported;
    this.recordCrash(crashId, fingerprints);
    this.send({ kind, at: this.driver.at, crashId, serverId: 'elsewhere', fingerprints });
  }

  private wait(milliseconds: number): void {
    this.driver.at += milliseconds;
    this.send({ kind: decision.DecisionEventKind.Tick, at: this.driver.at });
  }

  private recordCrash(crashId: string, fingerprints: readonly string[]): void {
    fingerprints.forEach((fingerprint) => {
      const crashIds = this.crashes.get(fingerprint) ?? new Set();
      this.crashes.set(fingerprint, crashIds.add(crashId));
    });
  }

  /** A full run shows that the request did not cause the crash; a refused fingerprint stays refused. */
  private recordFullRun(fingerprint: string): void {
    if (!this.isRefused(fingerprint)) {
      this.crashes.delete(fingerprint);
      this.excused.delete(fingerprint);
    }
  }

  /** Pieces that still arrive 200 ms after the first one excuse one crash, but not four of them. */
  private recordPiece(attemptId: string, fingerprint: string): void {
    const first = this.firstPieces.get(attemptId) ?? this.driver.at;
    this.firstPieces.set(attemptId, first);
    const crashIds = this.crashes.get(fingerprint) ?? new Set();
    if (this.driver.at - first >= 200 && crashIds.size === 1) {
      this.excused.set(
        fingerprint,
        new Set([...(this.excused.get(fingerprint) ?? []), ...crashIds]),
      );
      this.crashes.delete(fingerprint);
    }
  }

  private isRefused(fingerprint: string): boolean {
    const crashIds = this.crashes.get(fingerprint) ?? new Set();
    const excused = this.excused.get(fingerprint) ?? new Set();
    return (
      crashIds.size >= 2 || (crashIds.size > 0 && new Set([...crashIds, ...excused]).size >= 4)
    );
  }

  private send(event: decision.DecisionEvent): void {
    const { state, effects } = decision.update(this.driver.state, event);
    this.driver.state = state;
    effects.forEach((effect) => this.checkEffect(effect));
  }

  private checkEffect(effect: decision.DecisionEffect): void {
    this.effects.push(effect);
    switch (effect.kind) {
      case decision.DecisionEffectKind.Dispatch:
        return this.checkDispatch(effect);
      case decision.DecisionEffectKind.CancelAttempt:
        this.requests.get(effect.requestId)!.mayHaveRun = true;
        this.runningAttempts.delete(effect.attemptId);
        return undefined;
      case decision.DecisionEffectKind.Fail:
        return this.checkFailure(effect);
      case decision.DecisionEffectKind.ReportCrash:
        return this.recordCrash(effect.crashId, effect.fingerprints);
      default:
        return undefined;
    }
  }

  private checkDispatch(dispatch: decision.Dispatch): void {
    const { profile, mayHaveRun, ends } = this.requests.get(dispatch.requestId)!;
    const isConcurrent = [...this.runningAttempts.values()].some(
      (other) => other.requestId === dispatch.requestId,
    );
    if (!profile.idempotent && (mayHaveRun || isConcurrent)) {
      this.repeatedRuns.push(dispatch.attemptId);
    }
    if (ends > 0) {
      this.endedTwice.push(dispatch.attemptId);
    }
    if (!this.listed.some((server) => server.id === dispatch.serverId)) {
      this.ineligible.push(dispatch.attemptId);
    }
    if (this.isRefused(profile.fingerprint)) {
      this.quarantineViolations.push(dispatch.attemptId);
    }
    this.runningAttempts.set(dispatch.attemptId, dispatch);
    this.checkSlots(dispatch);
  }

  private checkSlots({ serverId, attemptId }: decision.Dispatch): void {
    const running = [...this.runningAttempts.values()].filter(
      (dispatch) => dispatch.serverId === serverId,
    );
    const long = running.filter(
      ({ requestId }) =>
        this.requests.get(requestId)!.profile.class === configuration.RequestClass.Long,
    );
    if (running.length > SLOTS || long.length > SLOTS - 1) {
      this.overfull.push(attemptId);
    }
  }

  private checkFailure({ requestId, failure }: decision.Fail): void {
    const request = this.requests.get(requestId)!;
    request.ends += 1;
    if (request.ends > 1) {
      this.endedTwice.push(requestId);
    }
    const isRunning = [...this.runningAttempts.values()].some(
      (dispatch) => dispatch.requestId === requestId,
    );
    if (failure.verdict === verdict.Verdict.NotRun && (request.mayHaveRun || isRunning)) {
      this.falseNotRun.push(requestId);
    }
  }
}
