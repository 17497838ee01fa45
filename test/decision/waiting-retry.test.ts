import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('retries that wait for a server');

const LIMITS = { ratio: 0, slack: 8, windowMilliseconds: 10_000 };
const SLOTS = 8;

/** A daemon alone with two servers, which counts what it sends again. */
class Daemon {
  readonly driver = builder.createDriver(2, SLOTS);

  private readonly retriedAt: number[] = [];

  private readonly sentIds = new Set<string>();

  running: decision.Dispatch[] = [];

  constructor() {
    const options = { ...this.driver.state.options, retryLimits: LIMITS };
    this.driver.state = { ...this.driver.state, options, daemons: 1 };
  }

  arrive(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.driver.arrive(`request-${this.driver.at}-${index}`, {
        idempotent: true,
        firstTokenDeadline: this.driver.at + 60_000,
        answerDeadline: this.driver.at + 60_000,
      });
    }
    this.collect();
  }

  /** The connections of all requests at a server are lost. */
  loseConnections(serverId: string): void {
    const lost = this.running.filter((dispatch) => dispatch.serverId === serverId);
    this.running = this.running.filter((dispatch) => !lost.includes(dispatch));
    lost.forEach((dispatch) => this.driver.loseConnection(dispatch, verdict.Verdict.MayHaveRun));
    this.collect();
  }

  /** The platform lists these servers only. */
  list(servers: ReturnType<typeof builder.listServers>): void {
    const kind = decision.DecisionEventKind.ServersChanged;
    this.driver.apply({ kind, at: this.driver.at, servers, listed: servers });
    this.collect();
  }

  finish(dispatch: decision.Dispatch): void {
    this.running = this.running.filter((other) => other !== dispatch);
    this.driver.finish(dispatch);
    this.collect();
  }

  wait(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      this.driver.wait(100);
      this.collect();
    }
  }

  /** The most requests that were sent again in any window. */
  get mostRetries(): number {
    return Math.max(
      0,
      ...this.retriedAt.map(
        (from) =>
          this.retriedAt.filter((at) => at >= from && at < from + LIMITS.windowMilliseconds).length,
      ),
    );
  }

  get retries(): number {
    return this.retriedAt.length;
  }

  private collect(): void {
    this.driver.takeEffects(decision.DecisionEffectKind.Dispatch).forEach((dispatch) => {
      this.running.push(dispatch);
      if (this.sentIds.has(dispatch.requestId)) {
        this.retriedAt.push(this.driver.at);
      }
      this.sentIds.add(dispatch.requestId);
    });
  }
}

// Guards against retries that were allowed one after the other, wait for a full server and are then sent all at once (BUDGET).
suite('are not sent beyond the limit of the window in which they are sent', () => {
  const daemon = new Daemon();
  daemon.arrive(2 * SLOTS);
  const [first, second] = builder.listServers(2);
  daemon.list([second]);
  daemon.loseConnections(first.id);
  assert.is(daemon.retries, 0, 'the other server is full');
  daemon.wait(LIMITS.windowMilliseconds + 600);
  daemon.loseConnections(second.id);
  for (let round = 0; round < 2 * SLOTS; round += 1) {
    daemon.running.slice(0, 1).forEach((dispatch) => daemon.finish(dispatch));
  }
  assert.ok(daemon.retries > 0);
  assert.ok(daemon.mostRetries <= LIMITS.slack, `${daemon.mostRetries} in a window`);
  daemon.wait(LIMITS.windowMilliseconds + 600);
  assert.ok(daemon.mostRetries <= LIMITS.slack, `${daemon.mostRetries} in a window`);
  assert.ok(daemon.retries > LIMITS.slack, 'what waits is sent when its turn comes');
});

suite.run();
