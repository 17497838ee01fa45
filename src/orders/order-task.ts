import * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as membership from '../membership';
import * as verdict from '../verdict';
import * as conditions from './engine-condition';
import * as desiredService from './desired-service';
import * as effects from './effect';
import type * as engineLease from './engine-lease';
import * as events from './event';
import * as parametersModule from './parameters';
import * as progressModule from './progress';
import * as states from './state';
import * as updateModule from './update';

/** Dependencies of the order task. */
export interface OrderPorts {
  readonly plane: Pick<
    control.ControlPlane,
    'leadership' | 'configuration' | 'propose' | 'orderHistory'
  >;
  readonly time: clock.Clock;
  /** Borrows the client of an engine; `undefined` if the engine is no longer listed. */
  readonly engine: (serverId: string) => engineLease.EngineLease | undefined;
  /** Backend servers that may get new requests. */
  readonly servers: () => readonly membership.EligibleServer[];
  /** Desired versions of a service, oldest first; absent if their times are unknown. */
  readonly desiredVersions?: (service: string) => readonly DesiredVersionAge[];
  /** Called with the result of each read-back, which is newer than the last probe of the membership task. */
  readonly onReadBack: (serverId: string, startedAt: number, report: backend.ProbeReport) => void;
}

/** A desired version and the least time since it was set. */
export interface DesiredVersionAge {
  readonly weightsVersion: string;
  readonly ageMilliseconds: number;
}

/** Whether an engine is loading other weights, and the last version that it reported. */
export interface EngineStatus {
  readonly loading: boolean;
  readonly weightsVersion?: string;
}

/**
 * Runs the order core of one daemon. The daemon whose replica leads the control group orders the engines of each
 * service to load the weights version of the service's document; all other daemons send no orders.
 *
 * @example
 * const task = new OrderTask({ plane, time, engine, servers, onReadBack });
 * task.start();
 */
export class OrderTask {
  private state: states.OrderState;

  private timer: clock.Timer | undefined;

  private serversReadAt = Number.NEGATIVE_INFINITY;

  private loggedProgress = '';

  private isClosed = false;

  constructor(
    private readonly ports: OrderPorts,
    parameters: parametersModule.OrderParameters = parametersModule.DEFAULT_PARAMETERS,
  ) {
    this.state = states.initialState(parameters);
  }

  /** Progress of the roll-outs; only meaningful on the leader. */
  progress(): readonly progressModule.ServiceProgress[] {
    return progressModule.progress(this.state);
  }

  /** Status of one engine that the list of VMs does not contain; on a daemon that does not lead it is empty. */
  engineStatus(serverId: string): EngineStatus {
    const engine = this.state.issuer === undefined ? undefined : this.state.engines.get(serverId);
    return {
      loading: engine !== undefined && conditions.mayBeLoading(engine),
      weightsVersion: engine?.observation?.weightsVersion,
    };
  }

  start(): void {
    if (this.isClosed) {
      return;
    }
    this.tick();
    this.timer = this.ports.time.setTimer(TICK_MILLISECONDS, () => this.start());
  }

  /** Stops sending orders. Engines may still execute orders that were sent before. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
  }

  private tick(): void {
    const leadership = this.ports.plane.leadership();
    this.followLeadership(leadership);
    if (this.state.issuer !== undefined) {
      this.readDesired();
      this.readServers();
    }
    const at = this.now();
    const leaseEndsAt = at + (leadership.leaseRemainingMilliseconds ?? 0);
    this.apply({ kind: events.OrderEventKind.Tick, at, leaseEndsAt });
    this.logProgress();
  }

  private followLeadership({ role, term }: control.Leadership): void {
    const at = this.now();
    const isLeader = role === control.ReplicaRole.Leader;
    const { issuer } = this.state;
    if (!isLeader && issuer !== undefined) {
      this.apply({ kind: events.OrderEventKind.LostLeadership, at });
      logger.information('lost the leadership; no more orders are sent', { term: issuer.term });
    }
    if (isLeader && issuer?.term !== term) {
      this.apply({ kind: events.OrderEventKind.BecameLeader, at, term });
      logger.information(
        'became leader; orders wait until those of earlier leaders are known or have ended',
        {
          term,
        },
      );
      this.readHistory(term);
    }
  }

  /** Reads the orders of earlier leaders once all their entries in the log are applied here. */
  private async readHistory(term: number): Promise<void> {
    const { NoOperation } = control.CommandKind;
    const read = await this.ports.plane.propose({ kind: NoOperation }, PROPOSAL_MILLISECONDS);
    if (read.err) {
      logger.warning('orders of earlier leaders are unknown; orders wait until those have ended', {
        term,
        reason: read.val,
      });
      return;
    }
    const { knownSince, orders } = this.ports.plane.orderHistory();
    const kind = events.OrderEventKind.HistoryRead;
    this.apply({ kind, at: this.now(), term, knownSince, orders });
  }

  private readDesired(): void {
    const at = this.now();
    const services = desiredService
      .desiredServices(this.ports.plane.configuration())
      .map((service) => ({
        ...service,
        desiredVersions: this.desiredVersionsOf(service.name, at),
      }));
    this.apply({ kind: events.OrderEventKind.DesiredChanged, at, services });
  }

  private desiredVersionsOf(
    service: string,
    at: number,
  ): readonly desiredService.DesiredVersion[] | undefined {
    return this.ports.desiredVersions?.(service).map(({ weightsVersion, ageMilliseconds }) => ({
      weightsVersion,
      namedAt: at - ageMilliseconds,
    }));
  }

  private readServers(): void {
    const at = this.now();
    if (at - this.serversReadAt < SERVERS_MILLISECONDS) {
      return;
    }
    this.serversReadAt = at;
    const engines = this.ports
      .servers()
      .filter(({ kind }) => kind === backend.BackendKind.ModelEngine);
    this.apply({ kind: events.OrderEventKind.ServersChanged, at, engines });
  }

  private apply(event: events.OrderEvent): void {
    const step = updateModule.update(this.state, event);
    this.state = step.state;
    this.sendRecorded(
      step.effects.flatMap((effect) =>
        effect.kind === effects.OrderEffectKind.SendOrder ? [effect] : [],
      ),
    );
    step.effects.forEach((effect) => this.execute(effect));
  }

  private execute(effect: effects.OrderEffect): void {
    switch (effect.kind) {
      case effects.OrderEffectKind.SendOrder:
        // Sent together with the others of the same step, by `sendRecorded`.
        break;
      case effects.OrderEffectKind.ReadBack:
        this.readBack(effect.serverId);
        break;
      default:
        logReport(effect);
    }
  }

  /** Records the orders in the log before they are sent, so that the next leader knows of them. */
  private async sendRecorded(sent: readonly effects.SendOrder[]): Promise<void> {
    if (sent.length === 0) {
      return;
    }
    const announced = sent.map(({ serverId, fencingNumber, weightsVersion, expectedOrders }) => ({
      serverId,
      fencingNumber,
      weightsVersion,
      ...(expectedOrders === undefined ? {} : { expectedOrders }),
    }));
    const kind = control.CommandKind.RecordOrders;
    const recorded = await this.ports.plane.propose(
      { kind, orders: announced },
      PROPOSAL_MILLISECONDS,
    );
    sent.forEach((order) => {
      if (recorded.ok) {
        this.sendOrder(order);
      } else {
        this.applyNotSent(order);
      }
    });
  }

  /** Whether no other daemon can lead yet. A slow disk may take longer to record an order than the lease at that time. */
  private mayStillSend({ sendBefore, fencingNumber }: effects.SendOrder): boolean {
    const { role, term, leaseRemainingMilliseconds = 0 } = this.ports.plane.leadership();
    const isLeader = role === control.ReplicaRole.Leader && term === fencingNumber;
    const leaseEndsAt = isLeader ? this.now() + leaseRemainingMilliseconds : sendBefore;
    return !this.isClosed && this.now() < leaseEndsAt;
  }

  private applyNotSent({ serverId, orderId }: effects.SendOrder): void {
    const kind = events.OrderEventKind.OrderFailed;
    this.apply({ kind, at: this.now(), serverId, orderId, verdict: verdict.Verdict.NotRun });
  }

  private async sendOrder(order: effects.SendOrder): Promise<void> {
    const { serverId, orderId } = order;
    const { OrderAccepted, OrderFailed, OrderRefused } = events.OrderEventKind;
    const lease = this.ports.engine(serverId);
    if (lease === undefined || !this.mayStillSend(order)) {
      lease?.release();
      this.applyNotSent(order);
      return;
    }
    const { fencingNumber, weightsVersion, expectedOrders } = order;
    const { reason, missedVersionAgeMilliseconds } = order;
    logger.information('order sent', {
      backendServer: serverId,
      fencingNumber,
      weightsVersion,
      reason,
      namingAgeMilliseconds: missedVersionAgeMilliseconds,
    });
    const kind = backend.OrderKind.LoadWeights;
    const content = { kind, fencingNumber, value: weightsVersion, expectedOrders };
    const answer = await backend.guardedCall(serverId, () => lease.client.order(content));
    lease.release();
    const base = { at: this.now(), serverId, orderId };
    if (answer.err) {
      this.apply({ kind: OrderFailed, ...base, verdict: answer.val.verdict });
      return;
    }
    const isAccepted = answer.val === backend.OrderOutcome.Accepted;
    this.apply({ kind: isAccepted ? OrderAccepted : OrderRefused, ...base });
  }

  private async readBack(serverId: string): Promise<void> {
    const startedAt = this.now();
    const lease = this.ports.engine(serverId);
    const outcome = lease && (await backend.guardedCall(serverId, () => lease.client.probe()));
    lease?.release();
    if (this.isClosed) {
      return;
    }
    const base = { at: this.now(), serverId };
    if (outcome === undefined || outcome.err) {
      this.apply({ kind: events.OrderEventKind.ProbeFailed, ...base });
      return;
    }
    this.ports.onReadBack(serverId, startedAt, outcome.val);
    this.apply({ kind: events.OrderEventKind.Observed, ...base, startedAt, ...outcome.val });
  }

  private logProgress(): void {
    const services = this.state.issuer === undefined ? [] : this.progress();
    const description = JSON.stringify(services);
    if (description !== this.loggedProgress) {
      this.loggedProgress = description;
      services.forEach((service) =>
        logger.information('roll-out progress of a service changed', { ...service }),
      );
    }
  }

  private now(): number {
    return this.ports.time.monotonic();
  }
}

function logReport(report: effects.Report): void {
  const { notice, serverId, weightsVersion, fencingNumber } = report;
  const fields = { backendServer: serverId, weightsVersion, fencingNumber };
  if (notice === effects.OrderNotice.Switched) {
    logger.information(notice, fields);
  } else {
    logger.warning(notice, fields);
  }
}

const logger = new logging.Logger('orders');

// Short compared with the lease, within which an order must be sent, and with a load, which takes 0.4 s.
const TICK_MILLISECONDS = 50;

// Two writes to a slow disk; an order that cannot be recorded is planned again.
const PROPOSAL_MILLISECONDS = 1_500;

// The list has up to 2,400 entries; reading it on every tick would cost too much.
const SERVERS_MILLISECONDS = 250;
