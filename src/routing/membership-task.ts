import * as backend from '../backend';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as control from '../control';
import * as decision from '../decision';
import * as logging from '../logging';
import * as membership from '../membership';
import * as verdict from '../verdict';
import type * as backendPool from './backend-pool';
import type * as decisionTask from './decision-task';
import * as serverChanges from './server-changes';
import * as serverObserver from './server-observer';

/** Dependencies of the membership task. */
export interface MembershipPorts {
  readonly list: backend.MachineList;
  readonly pool: backendPool.BackendPool;
  readonly plane: control.ControlPlane;
  readonly task: Pick<decisionTask.DecisionTask, 'feed' | 'now'>;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
  /** Whether this daemon reaches no server at all, so that a failed probe says nothing about its server. */
  readonly isCutOff?: () => boolean;
}

/**
 * Maintains the membership view: reads the platform's list, runs probes, exchanges reports with the peers,
 * and reports to the decision task which servers are eligible for new requests.
 */
export class MembershipTask extends serverObserver.ServerObserver {
  private view: membership.MembershipView;

  private current: readonly membership.EligibleServer[] = [];

  private isClosed = false;

  private listTimer: clock.Timer | undefined;

  private tickTimer: clock.Timer | undefined;

  /** Monotonic time in milliseconds for which the next tick is scheduled. */
  private tickAt = Number.POSITIVE_INFINITY;

  private unsubscribe: (() => void) | undefined;

  private unsubscribeFromList: (() => void) | undefined;

  private resolveFirstList: (() => void) | undefined;

  private resolveWeights: (() => void) | undefined;

  private weightsTimer: clock.Timer | undefined;

  /** The list that was applied last. */
  private list: readonly backend.MachineRecord[] | undefined;

  constructor(
    private readonly ports: MembershipPorts,
    private readonly machineListIntervalMilliseconds: number,
    probesRoutinely = true,
  ) {
    super();
    this.view = { ...membership.EMPTY_VIEW, probesPeriodically: probesRoutinely };
    ports.pool.useRuns(this);
  }

  /**
   * Starts to read the list and to probe servers in the background. Resolves after the first successful read
   * of the list: a daemon without it has no servers and would refuse every request.
   */
  async start(): Promise<void> {
    this.unsubscribe = this.ports.plane.onBroadcast(control.PeerTopic.Membership, (payload) =>
      this.receivePeerReport(payload),
    );
    const firstList = new Promise<void>((resolve) => {
      this.resolveFirstList = resolve;
    });
    this.unsubscribeFromList = this.ports.list.onChange?.(() => this.readList());
    this.readList();
    this.repeatList();
    await firstList;
  }

  /**
   * Resolves when the weights version of each service is known from one of its engines, or its engines are dead; after 2 s at the
   * latest. Until then a request asks for the configured version, which all engines refuse before a roll-out has begun.
   */
  async weightsKnown(): Promise<void> {
    if (!membership.hasUnknownWeights(this.current)) {
      return;
    }
    await new Promise<void>((resolve) => {
      this.resolveWeights = resolve;
      this.weightsTimer = this.ports.time.setTimer(LONGEST_PROBE_MILLISECONDS, resolve);
    });
    this.weightsTimer?.cancel();
    this.resolveWeights = undefined;
  }

  /** Servers that are eligible for new requests. */
  servers(): readonly membership.EligibleServer[] {
    return membership.eligible(this.view);
  }

  /** A server if it is eligible for new requests. */
  server(serverId: string): membership.EligibleServer | undefined {
    return membership.eligibleServer(this.view, serverId);
  }

  /** Software versions of a service's servers in the list, dead and leaving ones too. */
  softwareVersions(service: string): readonly string[] {
    const versions = (this.list ?? [])
      .filter((machine) => machine.service === service)
      .flatMap(({ softwareVersion = [] }) => softwareVersion);
    return [...new Set(versions)];
  }

  /** Applies the result of a probe that another task of this daemon made. */
  recordProbe(serverId: string, startedAt: number, report: backend.ProbeReport): void {
    const kind = membership.MembershipEventKind.ProbeSucceeded;
    const base = { at: this.now(), serverId, startedAt, jitter: this.ports.random.uniform() };
    this.apply({ kind, ...base, ...report });
  }

  /** The weights version that the next request to a service should specify. */
  servingWeights(service: configuration.ModelServiceDocument): string {
    return membership.servingWeights(this.current, service.name, service.weightsVersion);
  }

  override incarnationObserved(serverId: string, incarnation: string): void {
    const kind = membership.MembershipEventKind.IncarnationObserved;
    this.apply({ kind, at: this.now(), serverId, incarnation });
  }

  /** The last observed run of a server's process, also of one that must not get requests. */
  incarnationOf(serverId: string): string | undefined {
    return this.view.servers.get(serverId)?.incarnation;
  }

  override answeredAsLeaving({ machine, incarnation }: backend.LeavingAnswer): void {
    const kind = membership.MembershipEventKind.AnsweredAsLeaving;
    const { id: serverId, host, port } = machine;
    this.apply({ kind, at: this.now(), serverId, host, port, incarnation });
  }

  override paused(serverId: string, pauseMilliseconds: number, incarnation?: string): void {
    const kind = membership.MembershipEventKind.Paused;
    this.apply({ kind, at: this.now(), serverId, pauseMilliseconds, incarnation });
  }

  override attemptFailed(serverId: string, failure: verdict.RequestFailure): void {
    const at = this.now();
    if (failure.reason === verdict.FailureReason.BackendLeaving) {
      const kind = membership.MembershipEventKind.RefusedAsLeaving;
      this.apply({ kind, at, serverId });
    } else if (failure.reason === verdict.FailureReason.BackendRefused) {
      this.apply({ kind: membership.MembershipEventKind.Refused, at, serverId });
    } else if (failure.malformed === true) {
      this.apply({ kind: membership.MembershipEventKind.AnswerMalformed, at, serverId });
    } else if (CONNECTION_REASONS.has(failure.reason)) {
      this.apply({ kind: membership.MembershipEventKind.ConnectionFailed, at, serverId });
    }
  }

  close(): void {
    this.isClosed = true;
    this.resolveWeights?.();
    this.unsubscribe?.();
    this.unsubscribeFromList?.();
    this.listTimer?.cancel();
    this.tickTimer?.cancel();
  }

  private now(): number {
    return this.ports.time.monotonic();
  }

  /** Reads the list once; an exception is logged, and the next read tries again. */
  private async readList(): Promise<void> {
    const read = await backend.guardedCall(LIST_NAME, () => this.ports.list.read());
    if (this.isClosed) {
      return;
    }
    if (read.err) {
      logger.warning('list of VMs could not be read; keeping the previous list', {
        reason: read.val.reason,
      });
      return;
    }
    // A source without a new list returns the same object again.
    if (read.val === this.list) {
      return;
    }
    const previous = this.list;
    this.list = read.val;
    try {
      this.applyList(read.val);
    } catch (error) {
      this.list = previous;
      logger.error('list of VMs could not be applied', { reason: String(error) });
    }
  }

  private applyList(list: readonly backend.MachineRecord[]): void {
    const machines = list.filter(({ kind }) => kind !== backend.BackendKind.CacheStore);
    this.ports.pool.update(machines);
    this.apply({ kind: membership.MembershipEventKind.ListRead, at: this.now(), machines });
    this.resolveFirstList?.();
  }

  private receivePeerReport(payload: unknown): void {
    const report = membership.parseReport(payload);
    if (report === undefined) {
      logger.warning('peer sent a malformed membership report; ignored it');
      return;
    }
    const kind = membership.MembershipEventKind.PeerReported;
    this.apply({ kind, at: this.now(), report });
  }

  private apply(event: membership.MembershipEvent): void {
    const step = membership.update(this.view, event);
    this.view = step.state;
    if (step.state !== step.startState) {
      this.scheduleTick();
    }
    const isListNext = serverChanges.changesServers(step, event);
    // The decision core needs a crash report while it still has the server; the list of servers excludes dead ones.
    step.effects.forEach((effect) => this.carryOut(effect, isListNext));
    if (isListNext) {
      const { task } = this.ports;
      const servers = membership.eligible(this.view);
      serverChanges.logChanges(this.current, servers);
      this.current = servers;
      const listed = membership.listed(this.view);
      const kind = decision.DecisionEventKind.ServersChanged;
      task.feed({ kind, at: task.now(), servers, listed });
      if (this.resolveWeights !== undefined && !membership.hasUnknownWeights(servers)) {
        this.resolveWeights();
      }
    }
  }

  private carryOut(effect: membership.MembershipEffect, isListNext: boolean): void {
    const { MembershipEffectKind } = membership;
    switch (effect.kind) {
      case MembershipEffectKind.Probe:
        this.probe(effect.serverId);
        break;
      case MembershipEffectKind.ReportToPeers:
        this.ports.plane.broadcast(control.PeerTopic.Membership, effect.report);
        break;
      default:
        logger.warning(
          effect.isProcessAlive === true
            ? 'answers to probes are malformed'
            : 'backend server crashed',
          { backendServer: effect.serverId },
        );
        this.ports.task.feed({
          kind: decision.DecisionEventKind.ServerCrashed,
          at: this.ports.task.now(),
          serverId: effect.serverId,
          isProcessAlive: effect.isProcessAlive,
          isDead: effect.isDead,
          isListNext: isListNext || undefined,
        });
    }
  }

  private async probe(serverId: string): Promise<void> {
    const startedAt = this.now();
    const outcome = await this.ports.pool.probe(serverId);
    if (this.isClosed || outcome === undefined) {
      return;
    }
    const base = { at: this.now(), serverId, startedAt, jitter: this.ports.random.uniform() };
    const { ProbeFailed, ProbeSucceeded } = membership.MembershipEventKind;
    if (outcome.err) {
      const malformed = outcome.val.malformed === true ? { answeredMalformed: true as const } : {};
      const isInconclusive = this.ports.isCutOff?.() === true;
      this.apply({ kind: ProbeFailed, ...base, ...malformed, isInconclusive });
      return;
    }
    this.apply({ kind: ProbeSucceeded, ...base, ...outcome.val });
  }

  /** Reads the list again and again, because a daemon without contact to the leader gets no changes. */
  private repeatList(): void {
    if (this.isClosed) {
      return;
    }
    const { random, time } = this.ports;
    const milliseconds = this.machineListIntervalMilliseconds * (0.9 + random.uniform() / 5);
    this.listTimer = time.setTimer(milliseconds, async () => {
      await this.readList();
      this.repeatList();
    });
  }

  /** Moves the next tick to an earlier time if the view requires it; most daemons need no tick for a long time. */
  private scheduleTick(): void {
    const nextAt = membership.nextTickAt(this.view);
    if (this.isClosed || nextAt >= this.tickAt) {
      return;
    }
    this.tickTimer?.cancel();
    const delay = Math.max(TICK_MILLISECONDS, nextAt - this.now());
    this.tickAt = this.now() + delay;
    this.tickTimer = this.ports.time.setTimer(delay, () => {
      this.tickAt = Number.POSITIVE_INFINITY;
      this.apply({ kind: membership.MembershipEventKind.Tick, at: this.now() });
      this.scheduleTick();
    });
  }
}

const logger = new logging.Logger('membership');

/** Name of the list of VMs in log lines about calls. */
const LIST_NAME = 'vm-list';

/** A probe is answered or given up in this time. */
const LONGEST_PROBE_MILLISECONDS = backend.DEFAULT_LIMITS.managementMilliseconds;

/** Probes that become due within this time start together. */
const TICK_MILLISECONDS = 100;

const { FailureReason } = verdict;

/** Reasons that concern the connection, so that only a probe shows whether the server is alive. */
const CONNECTION_REASONS = new Set([
  FailureReason.ConnectFailed,
  FailureReason.ConnectionLost,
  FailureReason.StreamBroken,
  FailureReason.Timeout,
]);
