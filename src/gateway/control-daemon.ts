import * as backend from '../backend';
import * as clock from '../clock';
import type * as configuration from '../configuration';
import * as control from '../control';
import * as lifecycle from '../lifecycle';
import * as logging from '../logging';
import * as metrics from '../metrics';
import * as orders from '../orders';
import * as routes from '../routes';
import * as routing from '../routing';
import * as controlService from './control-service';
import * as crashEvidenceExchange from './crash-evidence-exchange';
import * as gatewayRegistry from './gateway-registry';
import * as loadExchange from './load-exchange';
import * as placementBuffer from './placement-buffer';
import * as requestLimitExchange from './request-limit-exchange';
import * as routingSource from './routing-source';
import * as sharedMachineList from './shared-machine-list';
import * as softwareVersionList from './software-version-list';
import * as softwareVersionRegistrar from './software-version-registrar';
import * as streamRecorder from './stream-recorder';
import * as weightsAge from './weights-age';

/** Dependencies of a control daemon. */
export interface ControlPorts {
  readonly plane: control.ControlPlane;
  /** Reads the list from the platform. */
  readonly list: backend.MachineList;
  readonly backends: routing.BackendFactory;
  readonly decode: routingSource.RoutingDecoder;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
}

/** A daemon that hosts a replica; while it leads, it reads the list of VMs and sends all weight orders. */
export class ControlDaemon {
  readonly service: controlService.ControlService;

  private readonly lifecycle: lifecycle.LifecycleManager;

  private readonly orders: orders.OrderTask;

  private stopping: Promise<unknown> | undefined;

  constructor(
    private readonly ports: ControlPorts,
    engineProperties: routes.EngineProperties,
    parameters: orders.OrderParameters,
  ) {
    const { plane, time, random } = ports;
    this.lifecycle = new lifecycle.LifecycleManager(time);
    this.service = new controlService.ControlService(plane, time);
    const registerResource = this.lifecycle.register.bind(this.lifecycle);
    registerResource('control plane', () => plane.close());
    const monitor = new metrics.ProcessMonitor(time, NO_METRICS, metrics.processUsage);
    registerResource('process watch', () => monitor.close());
    const source = this.followRegister(engineProperties, parameters);
    const pool = new routing.BackendPool(ports.backends);
    registerResource('backend clients', () => pool.close());
    const registrar = new softwareVersionRegistrar.SoftwareVersionRegistrar({ plane, time });
    const list = new sharedMachineList.SharedMachineList({
      plane,
      source: new softwareVersionList.SoftwareVersionList(ports.list, plane, (machines) =>
        registrar.observe(machines),
      ),
      time,
      annotate: (record) => withStatus(record, this.orders.engineStatus(record.id)),
    });
    registerResource('list of VMs', () => list.close());
    const membership = new routing.MembershipTask(
      { list, pool, plane, task: NO_DECISIONS, time, random },
      LIST_INTERVAL_MILLISECONDS,
      false,
    );
    registerResource('membership', () => membership.close());
    const recorder = new streamRecorder.StreamRecorder({ plane, time });
    registerResource('stream recorder', () => recorder.close());
    const exchange = new loadExchange.LoadExchange(
      { plane, time, placementBuffer: new placementBuffer.PlacementBuffer(time) },
      NO_REQUESTS,
      () => {},
      (begun) =>
        begun.forEach(({ softwareVersion, keys }) =>
          keys.forEach((key) => recorder.add(key, softwareVersion, RECORD_MILLISECONDS)),
        ),
    );
    registerResource('load exchange', () => exchange.close());
    const evidence = new crashEvidenceExchange.CrashEvidenceExchange({ plane, time }, () => {});
    registerResource('crash evidence', () => evidence.close());
    const limits = new requestLimitExchange.RequestLimitExchange({ plane, time }, () => {});
    registerResource('request limits', () => limits.close());
    const gateways = new gatewayRegistry.GatewayRegistry({ plane, time });
    registerResource('registry of gateways', () => gateways.close());
    this.orders = new orders.OrderTask(
      {
        plane: {
          leadership: () => plane.leadership(),
          configuration: () => snapshotOf(source),
          propose: (...proposal) => plane.propose(...proposal),
          orderHistory: () => plane.orderHistory(),
        },
        time,
        engine: (serverId) => engineLease(pool.relay(serverId)),
        servers: () => membership.servers(),
        desiredVersions: (service) => source.desiredVersions(service),
        onReadBack: (...probe) => membership.recordProbe(...probe),
      },
      parameters,
    );
    registerResource('orders', () => this.orders.close());
    this.orders.start();
    membership.start();
  }

  /** Hands over the leadership and closes everything; later calls return the same promise. */
  stop(): Promise<unknown> {
    this.stopping ??= this.lifecycle.close();
    logger.information('shutdown begins');
    return this.stopping;
  }

  /** Adds a resource that is closed before those added earlier. */
  registerResource(name: string, close: lifecycle.CloseFunction): void {
    this.lifecycle.register(name, close);
  }

  private followRegister(
    engineProperties: routes.EngineProperties,
    { graceMilliseconds = Infinity }: orders.OrderParameters,
  ): routingSource.RoutingSource {
    const { plane, decode, time } = this.ports;
    const age = new weightsAge.WeightsAge(time, graceMilliseconds);
    const source = new routingSource.RoutingSource(decode, engineProperties, {
      dispatch: age,
      start: age,
    });
    this.lifecycle.register(
      'register',
      plane.onRegister((register) => source.update(register)),
    );
    source.update(plane.register());
    return source;
  }
}

/** The configuration from the register at this moment; it also changes as versions age. */
function snapshotOf(source: routingSource.RoutingSource): configuration.ConfigurationSnapshot {
  source.refresh();
  return source.snapshot;
}

/** Uses open connections for read-backs, which are too frequent to open a connection each. */
function engineLease(
  lease: routing.BackendLease<backend.RelayServer> | undefined,
): orders.EngineLease | undefined {
  return (
    lease && {
      client: {
        order: (order) => lease.client.order(order),
        probe: () => lease.client.probeOnOpenConnection(),
      },
      release: () => lease.release(),
    }
  );
}

/** Adds the leader's observation of the weights, which is newer than the list. */
function withStatus(
  record: backend.MachineRecord,
  { loading, weightsVersion }: orders.EngineStatus,
): backend.MachineRecord {
  return {
    ...record,
    ...(weightsVersion === undefined ? {} : { weightsVersion }),
    ...(loading ? { loading: true as const } : {}),
  };
}

const logger = new logging.Logger('control');

/** A control daemon accepts no requests. */
const NO_REQUESTS: loadExchange.OwnReport = {
  loads: () => [],
  demand: () => ({ totalMilliseconds: 0, keys: [] }),
};

/** Only gateways have a metrics address; a control daemon logs its load instead. */
const NO_METRICS = new metrics.DisabledMetrics();

/** A control daemon accepts no requests, so that it decides nothing about them. */
const NO_DECISIONS = { feed: () => {}, now: () => 0 };

/** The streams that all gateways report within this time share an entry of the log. */
const RECORD_MILLISECONDS = 200;

/** Upper limit of the delay until other daemons learn that an engine is loading other weights. */
const LIST_INTERVAL_MILLISECONDS = 100;
