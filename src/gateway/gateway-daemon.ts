import * as admission from '../admission';
import * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as daemon from '../daemon';
import * as decision from '../decision';
import * as lifecycle from '../lifecycle';
import * as logging from '../logging';
import * as memory from '../memory';
import * as metrics from '../metrics';
import * as placement from '../placement';
import * as routes from '../routes';
import * as routing from '../routing';
import * as verdict from '../verdict';
import type * as headerCodec from './header-codec';
import * as gatewayModule from './gateway';
import * as callerRequestHandler from './caller-request-handler';
import * as nestModule from './gateway-module';
import * as bufferBudget from './buffer-budget';
import * as connectivityModule from './connectivity';
import * as crashEvidenceExchange from './crash-evidence-exchange';
import * as loadExchange from './load-exchange';
import type * as loadTable from './load-table';
import * as placementBuffer from './placement-buffer';
import * as requestLimitExchange from './request-limit-exchange';
import * as routingSource from './routing-source';
import * as sharedMachineList from './shared-machine-list';
import * as softwareVersionList from './software-version-list';
import * as stallDetector from './stall-detector';
import * as streamOrigins from './stream-origins';
import * as gracefulStop from './graceful-stop';
import * as weightsAge from './weights-age';

/** Dependencies of a gateway. */
export interface GatewayPorts {
  readonly plane: control.ControlPlane;
  /** Reads the list from the platform. */
  readonly list: backend.MachineList;
  readonly backends: routing.BackendFactory;
  readonly headerCodec: headerCodec.HeaderCodec;
  readonly decode: routingSource.RoutingDecoder;
  readonly meter: metrics.Metrics;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
}

/** Listening address and limits of a gateway. */
export interface GatewayOptions {
  readonly zone: string;
  readonly region: string;
  readonly listen: { readonly host: string; readonly port: number };
  /** Where requests of other gateways are accepted; absent if there are none. */
  readonly forwardListen?: { readonly host: string; readonly port: number };
  readonly limits: daemon.ListenerLimits;
  readonly stop: gracefulStop.StopTimes;
  readonly engineProperties: routes.EngineProperties;
  /** Age of the desired weights version from which engines without it get no requests. */
  readonly weightsGraceMilliseconds: number;
  /** Age of the desired weights version from which streams that have not begun on older weights are cancelled. */
  readonly weightsStartMilliseconds: number;
  /** Limits of the retries of all daemons together. */
  readonly retryLimits: admission.RetryLimits;
  /** Whether this is the first start of the whole deployment, so that no earlier process can have retried. */
  readonly isFirstStart: boolean;
  readonly maximumRequests: number;
  /** Time in which an acknowledged routing document has to be in force; an older copy may lack something. */
  readonly copyAgeLimitMilliseconds: number;
  /** Memory and descriptors of its VM. */
  readonly vm: memory.VmLimits;
}

/** A daemon that relays requests of a platform's callers: starts and stops its tasks and listeners in order. */
export class GatewayDaemon {
  readonly readiness = new daemon.Readiness();

  private readonly lifecycle: lifecycle.LifecycleManager;

  private readonly task: routing.DecisionTask;

  private readonly membership: routing.MembershipTask;

  private readonly gateway: gatewayModule.Gateway;

  private readonly source: routingSource.RoutingSource;

  private readonly evidenceExchange: crashEvidenceExchange.CrashEvidenceExchange;

  private readonly connectivity: connectivityModule.Connectivity;

  private readonly memoryWatch: memory.MemoryWatch;

  private readonly intake: Omit<daemon.IntakeOptions, 'onHead'>;

  private listener: daemon.HttpListener | undefined;

  private stopping: Promise<void> | undefined;

  private constructor(
    private readonly ports: GatewayPorts,
    private readonly options: GatewayOptions,
  ) {
    const { plane, time, random, meter } = ports;
    this.lifecycle = new lifecycle.LifecycleManager(time);
    const limits = memory.limitsFor(options.vm, options.maximumRequests);
    const account = new memory.MemoryAccount(limits.heldBytes);
    this.intake = {
      account,
      meter,
      places: new daemon.ConnectionPlaces(limits.callerConnections),
      segments: new memory.SegmentPool(),
    };
    this.memoryWatch = this.watchMemory(account, limits.nearLimitBytes);
    const pool = new routing.BackendPool(ports.backends);
    this.task = new routing.DecisionTask<unknown>(
      coreOf(options, random, time.monotonic()),
      time,
      (report) => this.evidenceExchange.report(report),
      (at) => this.refreshedConfiguration(at),
    );
    const source = new softwareVersionList.SoftwareVersionList(ports.list, plane);
    const list = new sharedMachineList.SharedMachineList({ plane, source, time });
    this.membership = new routing.MembershipTask(
      {
        list,
        pool,
        plane,
        task: this.task,
        time,
        random,
        isCutOff: () => this.connectivity.isCutOff,
      },
      LIST_INTERVAL_MILLISECONDS,
      false,
    );
    this.source = new routingSource.RoutingSource(ports.decode, options.engineProperties, {
      dispatch: new weightsAge.WeightsAge(time, options.weightsGraceMilliseconds),
      start: new weightsAge.WeightsAge(time, options.weightsStartMilliseconds),
    });
    const { task, membership } = this;
    const origins = new streamOrigins.StreamOrigins({
      plane,
      time,
      listedVersions: (service) => membership.softwareVersions(service),
    });
    this.lifecycle.register('stream origins', () => origins.close());
    const buffer = new placementBuffer.PlacementBuffer(time);
    const exchange = new loadExchange.LoadExchange(
      { plane, time, placementBuffer: buffer },
      {
        loads: () => this.ownLoads(),
        demand: (maximumKeys) => {
          const { prefixDemand } = this.task.current as decision.DecisionState;
          return placement.reportDemand(prefixDemand, this.task.now(), maximumKeys);
        },
        streams: origins.report,
      },
      (sums) => this.receiveSums(sums),
    );
    this.lifecycle.register('load exchange', () => exchange.close());
    this.evidenceExchange = new crashEvidenceExchange.CrashEvidenceExchange(
      { plane, time },
      (evidence) => {
        const kind = decision.DecisionEventKind.CrashEvidenceReported;
        this.task.feed({ kind, at: this.task.now(), ...evidence });
      },
    );
    this.lifecycle.register('crash evidence', () => this.evidenceExchange.close());
    const limitExchange = new requestLimitExchange.RequestLimitExchange(
      { plane, time },
      (serverId, requestsPerSecond) => {
        const kind = decision.DecisionEventKind.ServerLimitChanged;
        this.task.feed({ kind, at: this.task.now(), serverId, requestsPerSecond });
      },
    );
    this.lifecycle.register('request limits', () => limitExchange.close());
    this.connectivity = new connectivityModule.Connectivity({
      plane,
      headerCodec: ports.headerCodec,
      pool,
      membership,
      task,
      readiness: this.readiness,
      time,
      random,
      place: options,
    });
    const { observer, forwarder } = this.connectivity;
    this.lifecycle.register(
      'connectivity',
      () => this.connectivity.close(),
      LISTENER_CLOSE_MILLISECONDS,
    );
    const stalls = new stallDetector.StallDetector(time, observer);
    this.lifecycle.register('silence watch', () => stalls.close());
    this.gateway = new gatewayModule.Gateway(
      {
        task,
        pool,
        observer,
        meter,
        time,
        headerCodec: ports.headerCodec,
        stallDetector: stalls,
        forwarder,
        bufferBudget: new bufferBudget.BufferBudget(limits.bufferedBytes, account),
        placementBuffer: buffer,
        streamOrigins: origins,
        requestLimits: limitExchange,
        server: (serverId) => membership.server(serverId),
        supersededMilliseconds: (service, version) =>
          this.source.supersededMilliseconds(service, version),
        copyAgeMilliseconds: () => plane.copyAgeMilliseconds(),
        storeAddress: () => this.gateway.store?.address,
        cacheNamespace: (service, owner) => this.gateway.cacheNamespace(service, owner),
      },
      random,
      options,
    );
    this.registerResources(pool, list);
  }

  /**
   * Starts the tasks and the listener. Resolves once connections are accepted; the daemon becomes ready later, when
   * it has a routing table and the list of VMs.
   *
   * @example
   * const gateway = await GatewayDaemon.start(ports, options);
   */
  static async start(ports: GatewayPorts, options: GatewayOptions): Promise<GatewayDaemon> {
    const started = new GatewayDaemon(ports, options);
    await started.listen();
    const { forwardListen, limits } = options;
    if (forwardListen !== undefined) {
      await started.connectivity.listen(started.gateway, forwardListen, limits, started.intake);
    }
    started.becomeReady();
    return started;
  }

  /** Port of the caller listener. */
  get callerPort(): number {
    return this.listener?.port ?? 0;
  }

  /** `host:port` at which other gateways reach this one; absent while it does not listen for them. */
  get addressForGateways(): string | undefined {
    return this.connectivity.address;
  }

  /** Drains the open requests and stops; later calls return the same promise. */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  private watchMemory(account: memory.MemoryAccount, nearLimitBytes: number): memory.MemoryWatch {
    const { time, meter } = this.ports;
    const garbage = memory.garbageCollector();
    const residentBytes = () => process.memoryUsage.rss();
    const ports = { account, time, meter, residentBytes, garbage };
    const watch = new memory.MemoryWatch(ports, nearLimitBytes);
    this.lifecycle.register('memory watch', () => watch.close());
    return watch;
  }

  private registerResources(
    pool: routing.BackendPool,
    list: sharedMachineList.SharedMachineList,
  ): void {
    const { plane, meter } = this.ports;
    const registerResource = this.lifecycle.register.bind(this.lifecycle);
    registerResource('metrics', () => meter.close());
    const monitor = new metrics.ProcessMonitor(this.ports.time, meter, metrics.processUsage);
    registerResource('process watch', () => monitor.close());
    const copies = new daemon.CopyMonitor(
      { plane, meter, time: this.ports.time },
      this.options.copyAgeLimitMilliseconds,
    );
    registerResource('copy watch', () => copies.close());
    registerResource('control plane', () => plane.close());
    registerResource('backend clients', () => pool.close());
    registerResource('decision task', () => this.task.close());
    registerResource('list of VMs', () => list.close());
    registerResource('membership', () => this.membership.close());
    registerResource(
      'register',
      plane.onRegister((register) => this.useRegister(register)),
    );
    registerResource(
      'number of daemons',
      plane.onDaemonCount((daemons) => {
        const kind = decision.DecisionEventKind.DaemonsCounted;
        this.task.feed({ kind, at: this.task.now(), daemons });
      }),
    );
    this.useRegister(plane.register());
  }

  /** The changed configuration, if the grace time of a weights version has ended; the register does not change then. */
  private refreshedConfiguration(at: number): decision.ConfigurationChanged | undefined {
    const active = this.source.refresh();
    const kind = decision.DecisionEventKind.ConfigurationChanged;
    return active && { kind, at, snapshot: active.snapshot };
  }

  private ownLoads(): readonly loadTable.InFlightLoad[] {
    const { servers } = this.task.current as decision.DecisionState;
    return [...servers.values()]
      .filter(({ load }) => load.own.requests > 0)
      .map(({ record, load }) => ({
        serverId: record.id,
        requests: load.own.requests,
        prefillTokens: load.own.prefillTokens,
        memoryTokens: load.own.memoryTokens ?? 0,
      }));
  }

  private receiveSums({
    loads,
    placements,
    demand,
    ageMilliseconds,
  }: loadExchange.ReceivedSums): void {
    const { PrefixesPlaced, LoadsReported, DemandReported } = decision.DecisionEventKind;
    const at = this.task.now();
    if (placements.length > 0) {
      this.task.feed({ kind: PrefixesPlaced, at, placements });
    }
    if (demand !== undefined) {
      this.task.feed({ kind: DemandReported, at, ...demand });
    }
    this.task.feed({ kind: LoadsReported, at, ageMilliseconds, loads });
  }

  private useRegister(register: control.Register): void {
    const active = this.source.update(register);
    if (active !== undefined) {
      this.gateway.useRouting(active);
    }
  }

  private async listen(): Promise<void> {
    const { time } = this.ports;
    const callers = new callerRequestHandler.CallerRequestHandler(
      this.gateway,
      this.readiness,
      time,
    );
    const listener = await daemon.listen(
      nestModule.GatewayModule.with(callers),
      this.options.listen,
      this.options.limits,
      new daemon.FailureFilter(() => 0),
      undefined,
      callers.intake(this.intake),
    );
    this.listener = listener;
    this.lifecycle.register('caller listener', () => listener.close(), LISTENER_CLOSE_MILLISECONDS);
  }

  private async becomeReady(): Promise<void> {
    await Promise.all([this.ports.plane.ready(), this.membership.start()]);
    while (this.gateway.tableVersion === undefined && this.stopping === undefined) {
      await this.ports.time.sleep(TABLE_POLL_MILLISECONDS);
    }
    this.memoryWatch.noteIdle();
    this.readiness.advance(daemon.DaemonStage.Ready);
    this.connectivity.report();
    logger.information('ready', { version: this.gateway.tableVersion });
  }

  private async stopGracefully(): Promise<void> {
    const at = this.task.now();
    const stopsAt = gracefulStop.endOf(this.options.stop, at);
    const draining = gracefulStop.drain(this.readiness, this.options.stop, this.ports.time);
    this.connectivity.report();
    this.task.feed({ kind: decision.DecisionEventKind.StopAnnounced, at, stopsAt });
    const interrupted = await draining;
    this.connectivity.forwarder.close();
    this.task.abortAll(INTERRUPTED);
    await this.lifecycle.close();
    logger.information('graceful shutdown ended', { interrupted });
  }
}

function coreOf(
  { zone, region, retryLimits, isFirstStart }: GatewayOptions,
  random: clock.RandomSource,
  startedAt: number,
): routing.DecisionCore<unknown> {
  const seed = random.integer(1, MAXIMUM_SEED);
  const retrySlackFrom = isFirstStart ? undefined : startedAt + retryLimits.windowMilliseconds;
  const options = { seed, zone, region, retryLimits, retrySlackFrom, hedgeBudget: NO_HEDGES };
  const startState = decision.initialState(options);
  const { update, isWaiting } = decision;
  return { startState, update, isWaiting } as routing.DecisionCore<unknown>;
}

const logger = new logging.Logger('gateway');

const INTERRUPTED = verdict.failure(
  verdict.FailureReason.ShuttingDown,
  verdict.Verdict.NotRun,
  'The router was stopped before the request was complete.',
  { retryAfterMilliseconds: 20 },
);

/** Hedges would use up the shared retry budget, which is needed for failures. */
const NO_HEDGES: admission.Budget = { credit: 0, ratio: 0, maximum: 0 };

const MAXIMUM_SEED = 2 ** 31;

// Changes arrive from the leader; the interval delays only the reading of a daemon that has lost the leader.
const LIST_INTERVAL_MILLISECONDS = 500;

const TABLE_POLL_MILLISECONDS = 20;

/** All answers are written by then; two listeners that wait for requests to arrive still end before the process is killed. */
const LISTENER_CLOSE_MILLISECONDS = 250;
