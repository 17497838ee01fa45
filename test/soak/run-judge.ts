import type * as cachedParts from './cached-parts';
import type * as dispatchHistory from './dispatch-history';
import * as soakDocument from './soak-document';
import * as soakEngine from './soak-engine';
import type * as teamHistory from './team-history';

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly team: string;
  readonly path: string;
  readonly kind: soakDocument.RequestKind;
}

/** The events that a caller received, over all attempts of one stream. */
export interface ReceivedStream {
  readonly id: string;
  readonly path: string;
  readonly text: string;
  readonly isComplete: boolean;
}

/** A broken promise. */
export interface Violation {
  readonly text: string;
  readonly requestId: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** A run on a part that another team made. */
interface ForeignUse {
  readonly run: soakEngine.EngineRun;
  readonly part: cachedParts.CachedPart;
}

/** Judges what callers and engines see. */
export class RunJudge {
  readonly violations: Violation[] = [];

  runs = 0;

  /** Runs that used cached parts. */
  cachedRuns = 0;

  /** Uses of parts of other teams, and those of them that were judged by the time of their dispatch. */
  readonly foreign = { used: 0, dispatchKnown: 0 };

  private readonly sent = new Map<string, SentRequest>();

  /** Number of runs by request. */
  private readonly runsOf = new Map<string, number>();

  /** Status of the requests that must not run twice and were answered as not run. */
  private readonly refused = new Map<string, number>();

  private readonly foreignUses: ForeignUse[] = [];

  constructor(private readonly teams: teamHistory.TeamHistory) {}

  send(request: SentRequest): void {
    this.sent.set(request.id, request);
  }

  arrived({ id, team, path, salt, engine }: soakEngine.EngineRequest): void {
    const sent = this.sent.get(id);
    if (salt === undefined || salt === '') {
      this.violate(id, `${engine} gets a request of ${team} without a salt`);
    }
    if (sent === undefined || sent.team !== team || sent.path !== path) {
      this.violate(id, `${engine} gets ${path} of ${team}, which no caller sent`);
    }
  }

  began(run: soakEngine.EngineRun): void {
    const { id, engine, used } = run;
    const runs = (this.runsOf.get(id) ?? 0) + 1;
    this.runsOf.set(id, runs);
    this.runs += 1;
    this.cachedRuns += used.length > 0 ? 1 : 0;
    if (runs > 1 && this.mayRunOnce(id)) {
      this.violate(id, `runs ${runs} times, now at ${engine}`);
    }
    if (this.refused.has(id)) {
      this.violate(id, `runs at ${engine} after the answer ${this.refused.get(id)}`);
    }
    used.forEach((part) => this.checkPart(run, part));
  }

  answered(id: string, status: number): void {
    if (!NOT_RUN_STATUSES.has(status) || !this.mayRunOnce(id)) {
      return;
    }
    this.refused.set(id, status);
    if (this.runsOf.has(id)) {
      this.violate(id, `is answered ${status} after it has run`);
    }
  }

  /** The events of a stream have to be in order, and all there if the stream is complete. */
  received({ id, path, text, isComplete }: ReceivedStream): void {
    const whole = Array.from(
      { length: soakEngine.EVENTS },
      (_, index) => `id: ${index + 1}\ndata: ${path} ${index + 1}\n\n`,
    ).join('');
    if (isComplete ? text !== whole : !whole.startsWith(text)) {
      const kind = isComplete ? 'complete' : 'broken off';
      this.violate(id, `is ${kind} with other events than those that were made: ${text}`);
    }
  }

  /**
   * Judges which runs used parts of other teams, once the log is complete: a request keeps the salt of its dispatch however long
   * it is on its way, so that a dispatch must be allowed by the documents of its own time.
   *
   * @param applyMilliseconds time in which an acknowledged document has to be in force
   */
  finish(dispatches: dispatchHistory.DispatchHistory, applyMilliseconds: number): void {
    const isIsolated: IsolationCheck = (team, request) => {
      const dispatchedAt = dispatches.timeOf(request);
      return dispatchedAt === undefined
        ? this.teams.isIsolated(team, request.at, applyMilliseconds + LINK_MILLISECONDS)
        : this.teams.isIsolated(team, dispatchedAt, applyMilliseconds);
    };
    this.foreignUses.splice(0).forEach(({ run, part }) => {
      this.foreign.used += 1;
      this.foreign.dispatchKnown += dispatches.timeOf(run) === undefined ? 0 : 1;
      if (isKeptApart(run, part, isIsolated)) {
        const { id, team, engine, salt, at } = run;
        const dispatchedAt = dispatches.timeOf(run);
        const way =
          dispatchedAt === undefined
            ? 'no line of its dispatch'
            : `dispatched ${Math.round(at - dispatchedAt)} ms before`;
        const age = Math.round(at - part.madeAt);
        const text = `${id}: of ${team} uses at ${engine} a part that ${part.team} made ${age} ms before, salt '${salt}', ${way}`;
        this.violations.push({ requestId: id, text, at });
      }
    });
  }

  private mayRunOnce(id: string): boolean {
    return ONCE.has(this.sent.get(id)?.kind);
  }

  private checkPart(run: soakEngine.EngineRun, part: cachedParts.CachedPart): void {
    const { id, team, engine, weightsVersion } = run;
    if (part.weightsVersion !== weightsVersion) {
      this.violate(
        id,
        `runs at ${engine} on weights ${weightsVersion} with a part of ${part.weightsVersion}`,
      );
    }
    if (part.team !== team) {
      this.foreignUses.push({ run, part });
    }
  }

  private violate(requestId: string, text: string): void {
    this.violations.push({ requestId, text: `${requestId}: ${text}`, at: performance.now() });
  }
}

/** Whether a team had to be kept apart by the gateway that dispatched a request. */
type IsolationCheck = (team: string, request: dispatchHistory.RequestAtEngine) => boolean;

/** Whether one of the two teams is isolated, or the one that made the part was when it did. */
function isKeptApart(
  run: soakEngine.EngineRun,
  part: cachedParts.CachedPart,
  isIsolated: IsolationCheck,
): boolean {
  const making = { ...part, salt: run.salt, at: part.madeAt };
  return isIsolated(run.team, run) || isIsolated(part.team, run) || isIsolated(part.team, making);
}

/** The longest time for which the connections hold a request. */
const LINK_MILLISECONDS = 3_000;

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const ONCE: ReadonlySet<soakDocument.RequestKind | undefined> = new Set([
  soakDocument.RequestKind.Report,
  soakDocument.RequestKind.Charge,
]);
