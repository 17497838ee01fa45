import * as command from '../command';
import * as lifecycle from '../lifecycle';
import * as logging from '../logging';
import * as metrics from '../metrics';
import * as orders from '../orders';
import * as routing from '../routing';
import * as verdict from '../verdict';
import * as bodyAdmission from './body-admission';
import * as callerContext from './caller-context';
import * as callerModule from './caller-module';
import * as copyMonitor from './copy-monitor';
import type * as daemonPorts from './daemon-ports';
import * as failureFilter from './failure-filter';
import * as httpListener from './http-listener';
import * as operatorFilter from './operator-filter';
import * as operatorGuard from './operator-guard';
import * as operatorModule from './operator-module';
import * as peerPosition from './peer-position';
import * as peerQuarantine from './peer-quarantine';
import * as readiness from './readiness';

/** A daemon: creates its tasks and listeners and starts and stops them in order. */
export class Daemon<State> {
  private readonly lifecycle: lifecycle.LifecycleManager;

  private readonly readiness = new readiness.Readiness();

  private readonly task: routing.DecisionTask;

  private readonly pool: routing.BackendPool;

  private readonly claimCommits: routing.ClaimCommitQueue;

  private readonly membership: routing.MembershipTask;

  private readonly router: routing.Router;

  private listener: httpListener.HttpListener | undefined;

  private operatorListener: httpListener.HttpListener | undefined;

  private stopping: Promise<void> | undefined;

  private constructor(
    private readonly ports: daemonPorts.DaemonPorts<State>,
    private readonly options: daemonPorts.DaemonOptions,
  ) {
    const { plane, time, random, machineList, meter } = ports;
    this.lifecycle = new lifecycle.LifecycleManager(time);
    this.pool = new routing.BackendPool(ports.backends);
    this.task = new routing.DecisionTask(
      ports.core as routing.DecisionCore<unknown>,
      time,
      (report) => peerQuarantine.broadcastCrashReport(plane, report),
    );
    const { task, pool } = this;
    this.membership = new routing.MembershipTask(
      { list: machineList, pool, plane, task, time, random },
      options.machineListIntervalMilliseconds,
    );
    this.claimCommits = new routing.ClaimCommitQueue(plane, time);
    this.router = new routing.Router(
      {
        task,
        pool,
        observer: this.membership,
        servingWeights: (service) => this.membership.servingWeights(service),
        isCopyRecent: () => plane.copyAgeMilliseconds() < COPY_AGE_LIMIT_MILLISECONDS,
        meter,
        time,
      },
      new routing.ClaimManager(plane, this.claimCommits, time),
      ports.hasher,
      plane.configuration(),
      options.maximumQueuedRequests,
    );
  }

  /**
   * Starts the tasks and listeners. Resolves when the listeners accept connections; the daemon becomes
   * ready later, when it has received a configuration and read the VM list. Rejects when a listener cannot
   * bind its address.
   *
   * @example
   * const daemon = await Daemon.start(ports, options);
   */
  static async start<State>(
    ports: daemonPorts.DaemonPorts<State>,
    options: daemonPorts.DaemonOptions,
  ): Promise<Daemon<State>> {
    const daemon = new Daemon(ports, options);
    daemon.registerTasks();
    await daemon.openOperatorListener();
    await daemon.openCallerListener();
    daemon.becomeReady();
    return daemon;
  }

  /** Port of the caller listener. */
  get callerPort(): number {
    return this.listener?.port ?? 0;
  }

  /** Port of the operator listener. */
  get operatorPort(): number {
    return this.operatorListener?.port ?? 0;
  }

  get isReady(): boolean {
    return this.readiness.isReady;
  }

  /**
   * Shuts down gracefully: first the readiness check fails, then new requests are rejected as "not run",
   * then running requests have the grace time to finish. Later calls return the same promise.
   */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  private registerTasks(): void {
    const { plane, meter, time } = this.ports;
    const register = this.lifecycle.register.bind(this.lifecycle);
    register('metrics', () => meter.close());
    const processMonitor = new metrics.ProcessMonitor(time, meter, metrics.processUsage);
    register('process watch', () => processMonitor.close());
    const copies = new copyMonitor.CopyMonitor({ plane, meter, time }, COPY_AGE_LIMIT_MILLISECONDS);
    register('copy watch', () => copies.close());
    register('control plane', () => plane.close());
    register('backend clients', () => this.pool.close());
    register('decision task', () => this.task.close());
    register('claims', () => this.claimCommits.close(CLAIM_FLUSH_MILLISECONDS));
    register('membership', () => this.membership.close());
    register('crash reports', peerQuarantine.subscribeToCrashReports(plane, this.task));
    register('peer position', peerPosition.watchPeerPosition({ plane, task: this.task, time }));
    register(
      'configuration',
      plane.onConfiguration((snapshot) => this.router.applyConfiguration(snapshot)),
    );
    this.router.applyConfiguration(plane.configuration());
    this.startPolls();
  }

  private startPolls(): void {
    const { time, random } = this.ports;
    const { task, pool, membership } = this;
    const polls = new routing.PollTask({ pool, task, observer: membership, time, random });
    this.lifecycle.register('polls', () => polls.close());
    polls.start();
    this.startOrders();
  }

  private startOrders(): void {
    const { plane, time } = this.ports;
    const { pool, membership } = this;
    const task = new orders.OrderTask({
      plane,
      time,
      engine: (serverId) => pool.engine(serverId),
      servers: () => membership.servers(),
      onReadBack: (...probe) => membership.recordProbe(...probe),
    });
    this.lifecycle.register('orders', () => task.close());
    task.start();
  }

  private async openOperatorListener(): Promise<void> {
    const { plane, history, time } = this.ports;
    const { router, membership } = this;
    const module = operatorModule.OperatorModule.with({
      plane,
      history,
      router,
      servers: () => membership.servers(),
      readiness: this.readiness,
      time,
      region: this.options.region,
      peerAddress: this.options.peerAddress,
      tokenHashes: this.options.operatorTokens.map(operatorGuard.hashToken),
      startedAt: time.monotonic(),
    });
    const limits = { ...this.options.limits, bodyBytes: command.MAXIMUM_PUBLISH_BODY_BYTES };
    const filter = new operatorFilter.OperatorFilter();
    const address = this.options.operatorListen;
    this.operatorListener = await httpListener.listen(module, address, limits, filter);
    const { close } = this.operatorListener;
    this.lifecycle.register('operator listener', close, LISTENER_CLOSE_MILLISECONDS);
  }

  private async openCallerListener(): Promise<void> {
    const { time } = this.ports;
    const { limits, listen } = this.options;
    const context = new callerContext.CallerContext(this.router, this.readiness, time, limits);
    const module = callerModule.CallerModule.with(context);
    const filter = new failureFilter.FailureFilter(() => this.router.catalog.revision);
    const admission = new bodyAdmission.BodyAdmission(context);
    const listener = await httpListener.listen(module, listen, limits, filter, (server) =>
      admission.install(server),
    );
    this.lifecycle.register('caller listener', () => listener.close(), LISTENER_CLOSE_MILLISECONDS);
    this.listener = listener;
  }

  private async becomeReady(): Promise<void> {
    await Promise.all([this.ports.plane.ready(), this.membership.start()]);
    await Promise.all([this.waitForFirstRevision(), this.membership.weightsKnown()]);
    this.readiness.advance(readiness.DaemonStage.Ready);
    logger.information('ready', { revision: this.router.catalog.revision });
  }

  /** Without a configuration every credential is unknown, and rejecting it would mislead the caller. */
  private waitForFirstRevision(): Promise<void> {
    if (this.router.catalog.revision > 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const unsubscribe = this.ports.plane.onConfiguration(() => {
        unsubscribe();
        resolve();
      });
    });
  }

  private async stopGracefully(): Promise<void> {
    const { time } = this.ports;
    logger.information('graceful shutdown begins', { active: this.readiness.activeRequests });
    const { loadBalancerMilliseconds, graceMilliseconds } = this.options;
    const end = time.monotonic() + loadBalancerMilliseconds + graceMilliseconds;
    const wasReady = this.readiness.isReady;
    this.readiness.advance(readiness.DaemonStage.Leaving);
    await time.sleep(wasReady ? loadBalancerMilliseconds : 0);
    this.readiness.advance(readiness.DaemonStage.Draining);
    while (this.readiness.activeRequests > 0 && time.monotonic() < end) {
      await time.sleep(DRAIN_POLL_MILLISECONDS);
    }
    const interrupted = this.readiness.activeRequests;
    this.task.abortAll(INTERRUPTED);
    const reports = await this.lifecycle.close();
    reports
      .filter((report) => report.outcome !== lifecycle.CloseOutcome.Closed)
      .forEach((report) =>
        logger.warning('resource could not be closed; shutdown continues', {
          resource: report.name,
          reason: report.error?.message ?? report.outcome,
        }),
      );
    logger.information('graceful shutdown ended', { interrupted });
  }
}

const logger = new logging.Logger('daemon');

const INTERRUPTED = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'The router was stopped before the request was complete.',
);

// All requests have ended by then; only connections that the client keeps open remain.
const LISTENER_CLOSE_MILLISECONDS = 1_000;

const DRAIN_POLL_MILLISECONDS = 20;

/** A published configuration is active on every daemon within this time. */
const COPY_AGE_LIMIT_MILLISECONDS = 5_000;

const CLAIM_FLUSH_MILLISECONDS = 2_000;
