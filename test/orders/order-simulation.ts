import * as clock from '../../src/clock';
import * as orders from '../../src/orders';
import * as verdict from '../../src/verdict';
import * as issuerModule from './issuer';
import * as modelledEngine from './modelled-engine';

const { OrderEventKind } = orders;

export enum ActionKind {
  Advance = 'advance',
  Elect = 'elect',
  LearnOfNewLeader = 'hear-of-new-leader',
  Pause = 'freeze',
  PauseBeforeSend = 'freeze-before-send',
  Resume = 'thaw',
  Partition = 'cut-off',
  Reconnect = 'reconnect',
  Publish = 'publish',
}

export interface Action {
  readonly kind: ActionKind;
  /** Selects the issuer, the service or the duration. */
  readonly pick: number;
}

interface Delivery {
  readonly due: number;
  readonly run: () => void;
}

/** Options of a simulation, which may exceed the times that the parameters assume. */
export interface SimulationOptions {
  readonly seed: number;
  /** Longest time until an order arrives. */
  readonly transitMilliseconds: number;
  readonly checksFencing: (service: string) => boolean;
  /** Whether leaders record their orders in a log, which a new leader reads; otherwise it only waits. */
  readonly recordsOrders?: boolean;
}

export const STEP_MILLISECONDS = 10;

const LEASE_MILLISECONDS = 400;

const LONGEST_LOAD_MILLISECONDS = 600;

export const PARAMETERS: orders.OrderParameters = {
  ...orders.DEFAULT_PARAMETERS,
  longestLeaseMilliseconds: 500,
  longestOrderMilliseconds: 1_000,
};

const SERVICES: Readonly<Record<string, number>> = { desk: 4, office: 3, solo: 1 };

/** Several issuers that send orders to the same engines in virtual time, over a lossy network. */
export class OrderSimulation {
  now = 1_000;

  readonly violations: string[] = [];

  readonly engines: readonly modelledEngine.ModelledEngine[];

  readonly issuers: readonly issuerModule.Issuer[];

  private readonly random: clock.RandomSource;

  private deliveries: Delivery[] = [];

  private term = 0;

  private leader = 0;

  private readonly recorded: orders.EarlierOrder[] = [];

  private versions: Record<string, number> = { desk: 1, office: 1, solo: 1 };

  constructor(private readonly options: SimulationOptions) {
    this.random = new clock.SeededRandomSource(options.seed);
    this.engines = Object.entries(SERVICES).flatMap(([service, count]) =>
      Array.from({ length: count }, (_, index) => {
        const checksFencing = options.checksFencing(service);
        const id = `${service}-${index}`;
        return new modelledEngine.ModelledEngine(id, service, checksFencing, service !== 'desk');
      }),
    );
    const network: issuerModule.IssuerNetwork = {
      sendOrder: (issuer, order) => this.recordOrder(issuer, order),
      readBack: (issuer, serverId) => this.readBack(issuer, serverId),
    };
    this.issuers = [0, 1, 2].map(() => new issuerModule.Issuer(PARAMETERS, network));
    this.elect(0);
  }

  act({ kind, pick }: Action): void {
    const issuer = this.issuers[pick % this.issuers.length];
    switch (kind) {
      case ActionKind.Elect:
        this.elect(pick % this.issuers.length);
        break;
      case ActionKind.LearnOfNewLeader:
        this.learnOfNewLeader(issuer);
        break;
      case ActionKind.Pause:
        issuer.isPaused = true;
        break;
      case ActionKind.PauseBeforeSend:
        issuer.pausesBeforeSend = true;
        break;
      case ActionKind.Resume:
        issuer.resume();
        break;
      case ActionKind.Partition:
        issuer.isPartitioned = true;
        break;
      case ActionKind.Reconnect:
        issuer.isPartitioned = false;
        break;
      case ActionKind.Publish:
        this.versions[Object.keys(SERVICES)[pick % 3]] += 1;
        break;
      default:
        this.advance((pick % 200) * STEP_MILLISECONDS);
    }
  }

  /** Ends all faults under one leader; returns whether the engines reach the desired state. */
  settle(): boolean {
    this.issuers.forEach((issuer) => {
      issuer.resume();
      Object.assign(issuer, { isPartitioned: false });
    });
    this.elect(0);
    this.issuers.slice(1).forEach((issuer) => this.learnOfNewLeader(issuer));
    for (let waited = 0; waited < SETTLE_MILLISECONDS && !this.isDesired(); waited += 500) {
      this.advance(500);
    }
    return this.isDesired();
  }

  private isDesired(): boolean {
    return (
      this.deliveries.length === 0 &&
      this.engines.every(
        (engine) =>
          engine.executing.length === 0 && engine.weightsVersion === this.desiredOf(engine.service),
      )
    );
  }

  private desiredOf(service: string): string {
    return `v${this.versions[service]}`;
  }

  /** Elects another leader, of which the old one learns nothing. */
  private elect(index: number): void {
    const issuer = this.issuers[index];
    if (issuer.isPaused || issuer.isPartitioned) {
      return;
    }
    this.term += 1;
    this.leader = index;
    issuer.apply({ kind: OrderEventKind.BecameLeader, at: this.now, term: this.term });
    if (this.options.recordsOrders) {
      const { now: at, term } = this;
      const history = { at, term, knownSince: -Infinity, orders: lastOfEach(this.recorded) };
      issuer.apply({ kind: OrderEventKind.HistoryRead, ...history });
    }
  }

  private learnOfNewLeader(issuer: issuerModule.Issuer): void {
    if (!issuer.isPaused && !issuer.isPartitioned && issuer !== this.issuers[this.leader]) {
      issuer.apply({ kind: OrderEventKind.LostLeadership, at: this.now });
    }
  }

  private advance(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      this.engines.forEach((engine) => engine.advance(this.now));
      const due = this.deliveries.filter((delivery) => delivery.due <= this.now);
      this.deliveries = this.deliveries.filter((delivery) => delivery.due > this.now);
      due.forEach((delivery) => delivery.run());
      this.renewLease();
      if (this.now % TICK_MILLISECONDS === 0) {
        this.issuers.filter((issuer) => !issuer.isPaused).forEach((issuer) => this.tick(issuer));
      }
      this.checkLoads();
    }
  }

  private renewLease(): void {
    const issuer = this.issuers[this.leader];
    if (!issuer.isPaused && !issuer.isPartitioned) {
      issuer.leaseEndsAt = this.now + LEASE_MILLISECONDS;
    }
  }

  private tick(issuer: issuerModule.Issuer): void {
    const at = this.now;
    const services = Object.keys(SERVICES).map((name) => ({
      name,
      weightsVersion: this.desiredOf(name),
    }));
    issuer.apply({ kind: OrderEventKind.DesiredChanged, at, services });
    const engines = this.engines.map(({ id, service, weightsVersion }) => {
      const known = issuer.state.engines.get(id)?.listedWeights;
      const isProbed = known === undefined || this.random.uniform() < TICK_MILLISECONDS / 1_000;
      const listed = isProbed ? weightsVersion : known;
      return { id, service, suspected: false, weightsVersion: listed };
    });
    issuer.apply({ kind: OrderEventKind.ServersChanged, at, engines });
    issuer.tick(at);
  }

  /** Records the order first, which takes a while and fails once the log has the entries of a later leader. */
  private recordOrder(issuer: issuerModule.Issuer, order: orders.SendOrder): void {
    if (!this.options.recordsOrders) {
      this.sendOrder(issuer, order);
    } else if (issuer.term !== this.term) {
      const { serverId, orderId } = order;
      const outcome = { serverId, orderId, verdict: verdict.Verdict.NotRun };
      this.answer(issuer, 0, (at) => ({ kind: OrderEventKind.OrderFailed, at, ...outcome }));
    } else {
      this.recorded.push({ ...order, recordedAt: this.now });
      this.later(RECORD_MILLISECONDS, () => this.sendOrder(issuer, order));
    }
  }

  private sendOrder(issuer: issuerModule.Issuer, order: orders.SendOrder): void {
    const { serverId, orderId, fencingNumber, weightsVersion } = order;
    const base = { serverId, orderId };
    const fail = (outcome: verdict.Verdict, delay: number) =>
      this.answer(issuer, delay, (at) => ({
        kind: OrderEventKind.OrderFailed,
        at,
        ...base,
        verdict: outcome,
      }));
    if (this.now >= order.sendBefore || this.random.uniform() < 0.1) {
      fail(verdict.Verdict.NotRun, 0);
      return;
    }
    // The fencing number of the order may be wrong; the term of the issuer identifies the sender.
    const issuedTerm = issuer.term ?? fencingNumber;
    this.later(this.options.transitMilliseconds, () => {
      const load = this.delay(LONGEST_LOAD_MILLISECONDS);
      const arriving = { issuedTerm, fencingNumber, weightsVersion, endsAt: this.now + load };
      const isAccepted = this.engine(serverId).receive(arriving);
      const { OrderAccepted, OrderRefused } = OrderEventKind;
      if (this.random.uniform() < 0.2) {
        fail(verdict.Verdict.MayHaveRun, 300);
      } else {
        const kind = isAccepted ? OrderAccepted : OrderRefused;
        this.answer(issuer, 100, (at) => ({ kind, at, ...base }));
      }
    });
  }

  private readBack(issuer: issuerModule.Issuer, serverId: string): void {
    const startedAt = this.now;
    this.later(100, () => {
      const { weightsVersion, loading } = this.engine(serverId);
      const isLost = this.random.uniform() < 0.05;
      const { Observed, ProbeFailed } = OrderEventKind;
      const observation = { serverId, startedAt, incarnation: 'i', weightsVersion, loading };
      this.answer(issuer, 100, (at) =>
        isLost ? { kind: ProbeFailed, at, serverId } : { kind: Observed, at, ...observation },
      );
    });
  }

  private answer(
    issuer: issuerModule.Issuer,
    delay: number,
    event: (at: number) => orders.OrderEvent,
  ): void {
    this.later(delay, () => issuer.deliver(event, () => this.now));
  }

  private later(longestDelay: number, run: () => void): void {
    this.deliveries.push({ due: this.now + this.delay(longestDelay), run });
  }

  /** Often the longest delay, because most faults need an order that ends as late as possible. */
  private delay(longest: number): number {
    return this.random.uniform() < 0.4 ? longest : this.random.uniform() * longest;
  }

  private engine(serverId: string): modelledEngine.ModelledEngine {
    return this.engines.find((engine) => engine.id === serverId)!;
  }

  private checkLoads(): void {
    const loading = this.engines.filter((engine) => engine.executing.length > 0);
    if (loading.length > PARAMETERS.maximumLoads) {
      this.violations.push(`${loading.length} loads at once`);
    }
    Object.entries(SERVICES).forEach(([service, count]) => {
      const out = loading.filter((engine) => engine.service === service).length;
      if (count > 1 && out * 2 > count) {
        this.violations.push(`${service}: ${out} of ${count} out of service`);
      }
    });
  }
}

function lastOfEach(recorded: readonly orders.EarlierOrder[]): readonly orders.EarlierOrder[] {
  return [...new Map(recorded.map((order) => [order.serverId, order])).values()];
}

const TICK_MILLISECONDS = 50;

/** Longest time until a majority has an order on disk. */
const RECORD_MILLISECONDS = 40;

const SETTLE_MILLISECONDS = 120_000;
