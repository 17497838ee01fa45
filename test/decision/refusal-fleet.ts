import * as clock from '../../src/clock';
import * as configuration from '../../src/configuration';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

/** Sizes of a simulated fleet. */
export interface RefusalFleetOptions {
  readonly gateways: number;
  readonly servers: number;
  readonly slots: number;
  /** Requests a second of all callers. */
  readonly rate: number;
  readonly workMilliseconds: number;
  /** Refusals a second that make a server fall over. */
  readonly refusalsPerSecond: number;
  /** Whether the gateways are told of the limit. */
  readonly isNamed: boolean;
  readonly seed: number;
}

interface Server {
  readonly id: string;
  running: number;
  refusals: number[];
  downUntil: number;
}

interface Gateway {
  readonly driver: builder.DecisionDriver;
  readonly own: Map<string, number>;
}

/**
 * Load pattern: more requests than the servers can run, which let nobody wait and fall over when they have to refuse too many
 * requests in a second. Gateways know each other's requests 200 ms late.
 */
export class RefusalFleet {
  falls = 0;

  served = 0;

  private readonly time = new clock.ManualClock();

  private readonly random: clock.SeededRandomSource;

  private readonly servers: readonly Server[];

  private readonly gateways: readonly Gateway[];

  private nextRequest = 0;

  constructor(private readonly options: RefusalFleetOptions) {
    this.random = new clock.SeededRandomSource(options.seed);
    this.servers = builder
      .listServers(options.servers)
      .map(({ id }) => ({ id, running: 0, refusals: [], downUntil: 0 }));
    this.gateways = Array.from({ length: options.gateways }, () => ({
      driver: this.createDriver(),
      own: new Map(),
    }));
  }

  run(milliseconds: number): this {
    this.arrive();
    this.exchangeLoads();
    this.tick();
    this.time.advance(milliseconds);
    return this;
  }

  private createDriver(): builder.DecisionDriver {
    const { servers, slots, gateways, isNamed, refusalsPerSecond } = this.options;
    const driver = builder.createDriver(servers, slots);
    const retryLimits = { ratio: 0.2, slack: 52, windowMilliseconds: 10_000 };
    const options = { ...driver.state.options, retryLimits, seed: this.random.integer(1, 1_000) };
    driver.state = { ...driver.state, options, daemons: gateways, randomSeed: options.seed };
    const [service] = driver.state.services.keys();
    const kind = decision.DecisionEventKind.RefusalLimitChanged;
    return isNamed ? driver.apply({ kind, at: 0, service, refusalsPerSecond }) : driver;
  }

  private arrive(): void {
    const { rate } = this.options;
    this.time.setTimer((this.random.uniform() * 2_000) / rate, () => {
      const gateway = this.gateways[this.random.integer(0, this.gateways.length)];
      this.nextRequest += 1;
      this.feed(gateway, () =>
        gateway.driver.arrive(`request-${this.nextRequest}`, {
          class: configuration.RequestClass.Short,
          promptTokens: 0,
          prefixChain: [],
          firstTokenDeadline: this.time.monotonic() + 3_000,
        }),
      );
      this.arrive();
    });
  }

  private exchangeLoads(): void {
    const loads = this.servers.map(({ id }) => ({
      serverId: id,
      requests: this.gateways.reduce((sum, { own }) => sum + (own.get(id) ?? 0), 0),
      prefillTokens: 0,
      memoryTokens: 0,
    }));
    this.time.setTimer(200, () => {
      const kind = decision.DecisionEventKind.LoadsReported;
      const at = this.time.monotonic();
      this.gateways.forEach((gateway) =>
        this.feed(gateway, () => gateway.driver.apply({ kind, at, ageMilliseconds: 200, loads })),
      );
      this.exchangeLoads();
    });
  }

  private tick(): void {
    this.time.setTimer(50, () => {
      this.gateways.forEach((gateway) => this.feed(gateway, () => gateway.driver.wait(0)));
      this.tick();
    });
  }

  /** Applies an event and sends what the core dispatches. */
  private feed(gateway: Gateway, apply: () => void): void {
    const { driver } = gateway;
    driver.at = this.time.monotonic();
    apply();
    driver
      .takeEffects(decision.DecisionEffectKind.Dispatch)
      .forEach((dispatch) => this.send(gateway, dispatch));
  }

  private send(gateway: Gateway, dispatch: decision.Dispatch): void {
    const { own } = gateway;
    const server = this.servers.find(({ id }) => id === dispatch.serverId)!;
    own.set(server.id, (own.get(server.id) ?? 0) + 1);
    this.time.setTimer(2, () => {
      if (this.time.monotonic() < server.downUntil) {
        this.fail(gateway, dispatch, server, verdict.FailureReason.ConnectFailed);
      } else if (server.running < this.options.slots) {
        server.running += 1;
        const work = this.options.workMilliseconds * (0.5 + this.random.uniform());
        this.time.setTimer(work, () => this.finish(gateway, dispatch, server));
      } else {
        this.refuse(gateway, dispatch, server);
      }
    });
  }

  private finish(gateway: Gateway, dispatch: decision.Dispatch, server: Server): void {
    const running = server;
    running.running -= 1;
    this.served += 1;
    gateway.own.set(server.id, gateway.own.get(server.id)! - 1);
    this.feed(gateway, () => gateway.driver.finish(dispatch));
  }

  private refuse(gateway: Gateway, dispatch: decision.Dispatch, server: Server): void {
    const refusing = server;
    const now = this.time.monotonic();
    refusing.refusals = [...server.refusals.filter((at) => now - at < 1_000), now];
    if (refusing.refusals.length > this.options.refusalsPerSecond) {
      this.falls += 1;
      refusing.downUntil = now + DOWN_MILLISECONDS;
    }
    this.fail(gateway, dispatch, server, verdict.FailureReason.BackendRefused);
  }

  private fail(
    gateway: Gateway,
    { requestId, attemptId }: decision.Dispatch,
    server: Server,
    reason: verdict.FailureReason,
  ): void {
    gateway.own.set(server.id, gateway.own.get(server.id)! - 1);
    const failure = verdict.failure(reason, verdict.Verdict.NotRun, 'The attempt failed.');
    const kind = decision.DecisionEventKind.AttemptFailed;
    const at = this.time.monotonic();
    this.feed(gateway, () => gateway.driver.apply({ kind, at, requestId, attemptId, failure }));
  }
}

/** Time until a server that fell over is back. */
const DOWN_MILLISECONDS = 3_000;
