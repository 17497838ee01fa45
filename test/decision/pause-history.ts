import * as fastCheck from 'fast-check';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

/** Kind of one step of a random history. */
enum ActionKind {
  Arrive = 'arrive',
  Refuse = 'refuse',
  Pause = 'pause',
  LatePause = 'late-pause',
  Piece = 'piece',
  Finish = 'finish',
  Lose = 'lose',
  List = 'list',
  Restart = 'restart',
  Leave = 'leave',
  Wait = 'wait',
}

/** One step; the numbers select among requests, servers and times. */
export const actions = fastCheck.record({
  kind: fastCheck.constantFrom(
    ...Object.values(ActionKind),
    ActionKind.Arrive,
    ActionKind.Arrive,
    ActionKind.Refuse,
    ActionKind.Wait,
  ),
  pick: fastCheck.nat(1_000),
  detail: fastCheck.nat(1_000),
});

type Action = typeof actions extends fastCheck.Arbitrary<infer Value> ? Value : never;

type Server = ReturnType<typeof builder.listServers>[number];

/** Acts as the adapter of a decision core with servers that ask for pauses, and keeps its own account of the pauses. */
export class PauseHistory {
  readonly driver = builder.createDriver(SERVERS, SLOTS);

  readonly sentInPause: string[] = [];

  readonly waitingInVain: string[] = [];

  readonly missedWakeUps: string[] = [];

  /** Until when each run of a server wants nothing. */
  private readonly pausedUntil = new Map<string, number>();

  private readonly running: decision.Dispatch[] = [];

  private servers: readonly Server[] = builder.listServers(SERVERS);

  private readonly incarnations = new Map(this.servers.map(({ id }) => [id, 'first']));

  private absent = new Set<string>();

  private count = 0;

  act({ kind, pick, detail }: Action): void {
    const server = this.servers[pick % SERVERS];
    const attempt = this.running[pick % Math.max(1, this.running.length)];
    const pause = (detail % 40) * 250;
    switch (kind) {
      case ActionKind.Arrive:
        this.arrive(detail);
        break;
      case ActionKind.Pause:
        this.pause(server.id, this.incarnations.get(server.id)!, pause);
        break;
      case ActionKind.LatePause:
        this.pause(server.id, 'earlier', 60_000);
        break;
      case ActionKind.Restart:
        this.restart(server.id);
        break;
      case ActionKind.Leave:
        this.absent = new Set(detail % 3 === 0 ? [] : [server.id]);
        this.list();
        break;
      case ActionKind.List:
        this.list();
        break;
      case ActionKind.Wait:
        this.wait(detail);
        break;
      default:
        if (attempt !== undefined) {
          this.endAttempt(kind, attempt, pause);
        }
    }
    this.collect();
    this.examine();
  }

  /** Lets all time pass that a request may take. */
  drain(): void {
    this.running.splice(0).forEach((dispatch) => this.driver.finish(dispatch));
    for (let passed = 0; passed < 30_000; passed += 100) {
      this.driver.wait(100);
      this.collect();
      this.running.splice(0).forEach((dispatch) => this.driver.finish(dispatch));
    }
  }

  private arrive(detail: number): void {
    this.count += 1;
    this.driver.arrive(`request-${this.count}`, {
      idempotent: detail % 4 !== 0,
      firstTokenDeadline: this.driver.at + 500 + (detail % 10) * 500,
      answerDeadline: this.driver.at + 12_000,
    });
  }

  private endAttempt(kind: ActionKind, attempt: decision.Dispatch, pause: number): void {
    const { driver } = this;
    const { requestId, attemptId, serverId } = attempt;
    if (kind === ActionKind.Piece) {
      driver.receivePiece(attempt, attempt.resumeFrom + 1);
      return;
    }
    this.running.splice(this.running.indexOf(attempt), 1);
    if (kind === ActionKind.Finish) {
      driver.finish(attempt);
    } else if (kind === ActionKind.Lose) {
      driver.loseConnection(attempt, verdict.Verdict.MayHaveRun);
    } else {
      this.pause(serverId, this.incarnations.get(serverId)!, pause);
      const { BackendRefused } = verdict.FailureReason;
      const failure = verdict.failure(BackendRefused, verdict.Verdict.NotRun, 'Refused.');
      const { AttemptFailed } = decision.DecisionEventKind;
      driver.apply({ kind: AttemptFailed, at: driver.at, requestId, attemptId, failure });
    }
  }

  private pause(serverId: string, incarnation: string, pauseMilliseconds: number): void {
    const kind = decision.DecisionEventKind.ServerPaused;
    const { at } = this.driver;
    const key = `${serverId} ${incarnation}`;
    const until = Math.max(this.pausedUntil.get(key) ?? 0, at + pauseMilliseconds);
    this.pausedUntil.set(key, until);
    this.driver.apply({ kind, at, serverId, incarnation, pauseMilliseconds });
  }

  private restart(serverId: string): void {
    this.count += 1;
    const incarnation = `start-${this.count}`;
    this.incarnations.set(serverId, incarnation);
    this.servers = this.servers.map((server) =>
      server.id === serverId ? { ...server, incarnation } : server,
    );
    this.list();
  }

  private list(): void {
    const kind = decision.DecisionEventKind.ServersChanged;
    const servers = this.servers.filter(({ id }) => !this.absent.has(id));
    this.driver.apply({ kind, at: this.driver.at, servers });
  }

  private wait(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
      this.driver.wait(TICK_MILLISECONDS);
      this.collect();
    }
  }

  /** Notes what was dispatched, and drops the attempts that the core has given up. */
  private collect(): void {
    const { at } = this.driver;
    this.driver.takeEffects(decision.DecisionEffectKind.Dispatch).forEach((dispatch) => {
      this.running.push(dispatch);
      if (at < this.endOf(dispatch.serverId)) {
        this.sentInPause.push(`${dispatch.attemptId} at ${dispatch.serverId}, ${at} ms`);
      }
    });
    const { requests } = this.driver.state;
    const remaining = this.running.filter(({ requestId, attemptId }) =>
      requests.get(requestId)?.attempts.some((attempt) => attempt.attemptId === attemptId),
    );
    this.running.splice(0, this.running.length, ...remaining);
  }

  /** Checks the requests that wait without an attempt against the account of the pauses. */
  private examine(): void {
    const { at, state } = this.driver;
    const listed = this.servers.filter(({ id }) => !this.absent.has(id));
    const earliest = Math.min(...listed.map(({ id }) => this.endOf(id)));
    const hasFreeServer = listed.some(
      ({ id }) => this.endOf(id) <= at && state.servers.get(id)!.load.own.requests === 0,
    );
    state.requests
      .filter(({ attempts }) => attempts.length === 0)
      .forEach(({ profile, nextPiece, entry, triedServers = [] }) => {
        const deadline = nextPiece > 0 ? profile.answerDeadline! : profile.firstTokenDeadline;
        if (earliest > Math.max(at, deadline)) {
          this.waitingInVain.push(`${profile.requestId} at ${at} ms until ${deadline}`);
        }
        if (hasFreeServer && entry !== undefined && triedServers.length === 0) {
          this.missedWakeUps.push(`${profile.requestId} at ${at} ms`);
        }
      });
  }

  private endOf(serverId: string): number {
    return this.pausedUntil.get(`${serverId} ${this.incarnations.get(serverId)}`) ?? 0;
  }
}

const SERVERS = 3;
const SLOTS = 4;
const TICK_MILLISECONDS = 20;
