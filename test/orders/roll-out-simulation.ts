import * as clock from '../../src/clock';
import * as orders from '../../src/orders';
import * as verdict from '../../src/verdict';
import * as issuerModule from './issuer';
import * as platformEngine from './platform-engine';

const { OrderEventKind } = orders;

export enum LeaderChange {
  None = 'none',
  /** A disruption of the control daemons, after which the platform does not count for some time. */
  Disruption = 'disruption',
  ByItself = 'by-itself',
}

export interface RollOutOptions {
  readonly seed: number;
  readonly engineCount: number;
  readonly parameters: orders.OrderParameters;
  /** Time between the settings of two desired versions. */
  readonly versionIntervalMilliseconds: number;
  readonly versionCount: number;
  /** Age of a desired version from which engines without it get no requests. */
  readonly graceMilliseconds: number;
  /** Age of a desired version at which the engines with older versions are counted. */
  readonly boundMilliseconds: number;
  readonly leaderChange: LeaderChange;
  /** Time after a disruption of the control daemons that the platform does not count. */
  readonly stableMilliseconds: number;
  /** Whether some orders never arrive; otherwise only their answers are lost. */
  readonly losesOrders: boolean;
}

/** Engines that still had an older version when the time of a version ended. */
export interface LateEngines {
  readonly version: number;
  readonly engines: readonly string[];
}

interface Delivery {
  readonly due: number;
  readonly run: () => void;
}

/** Simulates successive roll-outs, with a change of the leader, in virtual time. */
export class RollOutSimulation {
  now = 0;

  readonly late: LateEngines[] = [];

  readonly violations: string[] = [];

  /** Time in which engines could serve requests, summed over all engines. */
  servingMilliseconds = 0;

  ordersSent = 0;

  /** For each version, its age when the last engine had it or a newer one. */
  readonly doneAfterMilliseconds = new Map<number, number>();

  private readonly engines: readonly platformEngine.PlatformEngine[];

  private readonly issuers: readonly issuerModule.Issuer[];

  private readonly random: clock.RandomSource;

  /** The last order of each engine, as a leader has recorded it in the log before sending it. */
  private readonly recorded = new Map<string, orders.EarlierOrder>();

  /** Orders that may still be carried out, by engine and term. */
  private readonly inFlight = new Map<string, orders.SendOrder[]>();

  private deliveries: Delivery[] = [];

  private leader = 0;

  constructor(private readonly options: RollOutOptions) {
    this.random = new clock.SeededRandomSource(options.seed);
    this.engines = Array.from(
      { length: options.engineCount },
      (_, index) => new platformEngine.PlatformEngine(`engine-${index}`, REPORT_LAG_MILLISECONDS),
    );
    const network: issuerModule.IssuerNetwork = {
      sendOrder: (issuer, order) => this.sendOrder(issuer, order),
      readBack: (issuer, serverId) => this.readBack(issuer, serverId),
    };
    this.issuers = [0, 1].map(() => new issuerModule.Issuer(options.parameters, network));
  }

  /** Runs until the time of the last version has ended. */
  run(): void {
    const { versionCount, versionIntervalMilliseconds, boundMilliseconds, stableMilliseconds } =
      this.options;
    this.elect(0);
    const from = FIRST_VERSION_MILLISECONDS;
    const end =
      from + versionCount * versionIntervalMilliseconds + boundMilliseconds + stableMilliseconds;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      if (this.now === this.leaderChangesAt()) {
        this.issuers[0].apply({ kind: OrderEventKind.LostLeadership, at: this.now });
        this.later(ELECTION_MILLISECONDS, () => this.elect(1));
      }
      this.step();
    }
  }

  /** Time between the settings of two versions, at which orders for the earlier one have not ended. */
  private leaderChangesAt(): number {
    const { versionCount, versionIntervalMilliseconds, leaderChange } = this.options;
    const namedAt =
      FIRST_VERSION_MILLISECONDS + Math.floor(versionCount / 2) * versionIntervalMilliseconds;
    return leaderChange === LeaderChange.None ? Infinity : namedAt + LEADER_CHANGE_MILLISECONDS;
  }

  /** Whether the time of a version ends at this moment. */
  private isTimeOver(version: number): boolean {
    const { leaderChange, boundMilliseconds, stableMilliseconds } = this.options;
    const namedAt = this.namedAt(version);
    const changesAt = this.leaderChangesAt();
    const isClockStopped =
      leaderChange === LeaderChange.Disruption &&
      changesAt < namedAt + boundMilliseconds &&
      changesAt + stableMilliseconds > namedAt;
    const uncounted = isClockStopped
      ? changesAt + stableMilliseconds - Math.max(changesAt, namedAt)
      : 0;
    return this.now === namedAt + boundMilliseconds + uncounted;
  }

  /** The newest desired version. */
  private newestVersion(): number {
    const { versionIntervalMilliseconds, versionCount } = this.options;
    const count =
      Math.floor((this.now - FIRST_VERSION_MILLISECONDS) / versionIntervalMilliseconds) + 1;
    return 1 + Math.max(0, Math.min(versionCount, count));
  }

  private namedAt(version: number): number {
    return FIRST_VERSION_MILLISECONDS + (version - 2) * this.options.versionIntervalMilliseconds;
  }

  private desiredVersions(): readonly orders.DesiredVersion[] {
    return Array.from({ length: this.newestVersion() - 1 }, (_, index) => ({
      weightsVersion: (index + 2).toString(),
      namedAt: this.namedAt(index + 2),
    }));
  }

  private elect(index: number): void {
    this.leader = index;
    this.issuers[index].apply({
      kind: OrderEventKind.BecameLeader,
      at: this.now,
      term: index + 1,
    });
    this.issuers[index].apply({
      kind: OrderEventKind.HistoryRead,
      at: this.now,
      term: index + 1,
      knownSince: index === 0 ? this.now : -Infinity,
      orders: [...this.recorded.values()],
    });
  }

  private step(): void {
    this.engines.forEach((engine) => engine.advance(this.now));
    const due = this.deliveries.filter((delivery) => delivery.due <= this.now);
    this.deliveries = this.deliveries.filter((delivery) => delivery.due > this.now);
    due.forEach((delivery) => delivery.run());
    if (this.now % TICK_MILLISECONDS === 0) {
      this.tick(this.issuers[this.leader]);
      this.countLate();
      this.countServing();
    }
  }

  private tick(issuer: issuerModule.Issuer): void {
    const at = this.now;
    const services = [
      {
        name: SERVICE,
        weightsVersion: this.newestVersion().toString(),
        desiredVersions: this.desiredVersions(),
      },
    ];
    issuer.apply({ kind: OrderEventKind.DesiredChanged, at, services });
    if (at % LIST_MILLISECONDS === 0) {
      const engines = this.engines.map((engine) => ({
        id: engine.id,
        service: SERVICE,
        suspected: false,
        weightsVersion: engine.report(at).weightsVersion,
      }));
      issuer.apply({ kind: OrderEventKind.ServersChanged, at, engines });
    }
    Object.assign(issuer, { leaseEndsAt: at + LEASE_MILLISECONDS });
    issuer.tick(at);
  }

  private countLate(): void {
    for (let version = 2; version <= this.newestVersion(); version += 1) {
      const age = this.now - this.namedAt(version);
      const older = this.engines.filter((engine) => Number(engine.weightsVersion) < version);
      if (older.length === 0 && !this.doneAfterMilliseconds.has(version)) {
        this.doneAfterMilliseconds.set(version, age);
      }
      if (this.isTimeOver(version) && older.length > 0) {
        this.late.push({ version, engines: older.map(({ id }) => id) });
      }
    }
  }

  private countServing(): void {
    const { graceMilliseconds } = this.options;
    const serving = this.engines.filter((engine) => {
      const missed = Number(engine.weightsVersion) + 1;
      const isOld =
        missed <= this.newestVersion() && this.now - this.namedAt(missed) >= graceMilliseconds;
      const known = this.issuers[this.leader].state.engines.get(engine.id);
      return !isOld && engine.executing === undefined && known?.order === undefined;
    });
    this.servingMilliseconds += serving.length * TICK_MILLISECONDS;
  }

  private sendOrder(issuer: issuerModule.Issuer, order: orders.SendOrder): void {
    const { serverId, orderId, fencingNumber, weightsVersion, expectedOrders: expected } = order;
    const engine = this.engines.find(({ id }) => id === serverId)!;
    this.ordersSent += 1;
    this.recordOrder(order);
    const key = `${serverId} of term ${fencingNumber}`;
    const surelyEndsAt = this.now + this.options.parameters.longestOrderMilliseconds;
    const arrival = this.arrivalOf();
    this.inFlight.set(key, [...(this.inFlight.get(key) ?? []), order]);
    const ended = () =>
      this.inFlight.set(
        key,
        this.inFlight.get(key)!.filter((other) => other !== order),
      );
    const base = { serverId, orderId };
    const fail = (delay: number, outcome: verdict.Verdict) =>
      this.later(delay, () =>
        issuer.deliver(
          (at) => ({ kind: OrderEventKind.OrderFailed, at, ...base, verdict: outcome }),
          () => this.now,
        ),
      );
    if (!arrival.isAnswered) {
      fail(CALL_MILLISECONDS, verdict.Verdict.MayHaveRun);
    }
    if (arrival.afterMilliseconds === undefined) {
      // The issuer cannot know that the order never arrives.
      this.later(surelyEndsAt - this.now, ended);
      return;
    }
    this.later(arrival.afterMilliseconds, () => {
      const duration = this.between(SHORTEST_ORDER_MILLISECONDS, surelyEndsAt - this.now);
      const endsAt = Math.min(this.now + duration, surelyEndsAt) - STEP_MILLISECONDS;
      const isAccepted = engine.receive(
        { fencingNumber, expected, weightsVersion, endsAt },
        this.now,
      );
      if (isAccepted) {
        this.checkOthersExcluded(engine, key, order);
      }
      this.later(isAccepted ? endsAt - this.now : 0, ended);
      if (arrival.isAnswered && isAccepted) {
        this.later(TRANSIT_MILLISECONDS, () =>
          issuer.deliver(
            (at) => ({ kind: OrderEventKind.OrderAccepted, at, ...base }),
            () => this.now,
          ),
        );
      } else if (arrival.isAnswered) {
        fail(TRANSIT_MILLISECONDS, verdict.Verdict.NotRun);
      }
    });
  }

  /** A sender other than that of the order before has to leave the time of a lease between the two. */
  private recordOrder(order: orders.SendOrder): void {
    const before = this.recorded.get(order.serverId);
    const isOtherSender = before !== undefined && before.fencingNumber !== order.fencingNumber;
    if (isOtherSender && this.now - before.recordedAt < LEASE_BOUND_MILLISECONDS) {
      this.violations.push(`${order.serverId}: orders of two senders at ${this.now}`);
    }
    this.recorded.set(order.serverId, { ...order, recordedAt: this.now });
  }

  /** While one order is carried out, the engine must refuse every other order of the same term that is in flight. */
  private checkOthersExcluded(
    engine: platformEngine.PlatformEngine,
    key: string,
    accepted: orders.SendOrder,
  ): void {
    const others = this.inFlight.get(key)!.filter((other) => other !== accepted);
    if (others.some(({ expectedOrders }) => engine.mayAccept(expectedOrders))) {
      this.violations.push(`${key}: two orders in flight may both be carried out at ${this.now}`);
    }
  }

  /** One order in four is not answered: it is executed at once or later, or is lost. */
  private arrivalOf(): { readonly isAnswered: boolean; readonly afterMilliseconds?: number } {
    const afterMilliseconds = this.between(STEP_MILLISECONDS, TRANSIT_MILLISECONDS);
    const isAnswered = this.random.uniform() >= 0.25;
    const randomValue = this.random.uniform();
    if (isAnswered || randomValue < 0.5) {
      return { isAnswered, afterMilliseconds };
    }
    return this.options.losesOrders && randomValue < 0.75
      ? { isAnswered }
      : { isAnswered, afterMilliseconds: this.between(1_000, 2_000) };
  }

  private readBack(issuer: issuerModule.Issuer, serverId: string): void {
    const startedAt = this.now;
    const engine = this.engines.find(({ id }) => id === serverId)!;
    this.later(this.between(STEP_MILLISECONDS, TRANSIT_MILLISECONDS), () => {
      const { weightsVersion, loading, accepted: acceptedOrders } = engine.report(this.now);
      const report = { weightsVersion, loading, acceptedOrders };
      const observation = { serverId, startedAt, incarnation: 'i', ...report };
      issuer.deliver(
        (at) => ({ kind: OrderEventKind.Observed, at, ...observation }),
        () => this.now,
      );
    });
  }

  private later(delay: number, run: () => void): void {
    this.deliveries.push({ due: this.now + delay, run });
  }

  private between(least: number, most: number): number {
    return least + this.random.uniform() * (most - least);
  }
}

const SERVICE = 'desk';

const STEP_MILLISECONDS = 10;

const TICK_MILLISECONDS = 50;

const LIST_MILLISECONDS = 250;

const LEASE_MILLISECONDS = 400;

/** The platform counts orders of two senders to one engine within this time as a conflict. */
const LEASE_BOUND_MILLISECONDS = 3_000;

const ELECTION_MILLISECONDS = 300;

/** After the time for which the first leader must not send orders. */
const FIRST_VERSION_MILLISECONDS = 5_000;

const LEADER_CHANGE_MILLISECONDS = 1_000;

/** Reports are some hundred milliseconds old. */
const REPORT_LAG_MILLISECONDS = 200;

const TRANSIT_MILLISECONDS = 50;

/** Timeout of a call without an answer. */
const CALL_MILLISECONDS = 800;

const SHORTEST_ORDER_MILLISECONDS = 600;
