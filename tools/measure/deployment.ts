import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as yaml from 'yaml';
import * as clock from '../../src/clock';
import * as child from '../../src/load/measure/child';
import * as processUsage from '../../src/load/measure/process-usage';
import * as start from '../../platform/start';
import * as plan from './plan';
import * as simulatorProcess from './simulator-process';
import * as simulatorMessage from './simulator-message';

/** Indexes in the list of ports. */
enum Port {
  Front,
  Ready,
  Control,
  Internal,
}

/** Processor time of each process of the system under test. */
export interface DeploymentUsage {
  readonly monotonicMilliseconds: number;
  readonly gateway: processUsage.ProcessUsage;
  readonly controls: readonly processUsage.ProcessUsage[];
}

/**
 * One gateway and all control daemons as processes on loopback addresses, with simulated servers and peers. Each daemon
 * has its own address, because all of them listen on the same ports.
 */
export class Deployment {
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-measure-'));

  private readonly time = new clock.SystemClock();

  private readonly servers = new simulatorProcess.SimulatorProcess();

  /** A separate process, so that the load of the peers does not delay answers of the backend servers. */
  private readonly peerSimulator = new simulatorProcess.SimulatorProcess();

  private controls: child.Child[] = [];

  private gateway!: child.Child;

  private ports: readonly number[] = [];

  constructor(
    private readonly deploymentPlan: plan.DeploymentPlan,
    /** Compiled module of the daemons. */
    private readonly program: string,
    /** Arguments of Node.js for every daemon. */
    private readonly nodeArguments: readonly string[],
    /** Folder for the profiles of the daemons; if absent, none are written. */
    private readonly profileFolder?: string,
  ) {}

  /** Starts everything; resolves once the gateway accepts requests. */
  async start(): Promise<void> {
    this.ports = await freePorts(PORT_COUNT);
    const vmListAddress = await this.servers.call<string>({
      kind: simulatorMessage.RequestKind.StartServers,
      plan: this.deploymentPlan,
    });
    const hosts = Array.from({ length: this.deploymentPlan.controls }, (_unused, index) =>
      controlHost(index),
    );
    this.controls = hosts.map((host, index) =>
      this.startDaemon(`control-${index}`, host, index, vmListAddress, true),
    );
    await this.callAsOperator('PUT', '/-/config', plan.routingDocument(this.deploymentPlan));
    const desiredVersion = JSON.stringify({ model: plan.MODEL, version: 1 });
    await this.callAsOperator('POST', '/-/version-put', desiredVersion);
    this.gateway = this.startDaemon('gateway-0', GATEWAY_HOST, 0, vmListAddress, false);
    await this.retryUntilDone(
      async () => (await fetch(`http://${this.gatewayAddress(Port.Ready)}/-/ready`)).ok,
    );
    await this.peerSimulator.call({
      kind: simulatorMessage.RequestKind.StartPeers,
      plan: this.deploymentPlan,
      replicas: hosts.map((host) => `${host}:${this.ports[Port.Internal]}`),
      preSharedKey: start.PEER_KEY,
    });
  }

  setPeersBusy(isBusy: boolean): Promise<void> {
    return this.peerSimulator.call({ kind: simulatorMessage.RequestKind.SetBusy, isBusy });
  }

  sendRequests(callPlan: plan.CallPlan): Promise<plan.CallCounts> {
    const address = this.gatewayAddress(Port.Front);
    const { teams } = this.deploymentPlan;
    return this.servers.call({
      kind: simulatorMessage.RequestKind.Call,
      address,
      teams,
      plan: callPlan,
    });
  }

  usage(): DeploymentUsage {
    return {
      monotonicMilliseconds: this.time.monotonic(),
      gateway: processUsage.readUsage(this.gateway.pid),
      controls: this.controls.map(({ pid }) => processUsage.readUsage(pid)),
    };
  }

  async stop(): Promise<void> {
    if (this.profileFolder !== undefined) {
      await Promise.all([this.gateway, ...this.controls].map((daemon) => daemon?.terminate()));
    }
    await Promise.all([this.gateway, ...this.controls].map((daemon) => daemon?.stop()));
    await Promise.all([this.servers, this.peerSimulator].map((process) => process.stop()));
    fs.rmSync(this.folder, { recursive: true });
  }

  private startDaemon(
    node: string,
    host: string,
    index: number,
    vmListAddress: string,
    isControl: boolean,
  ): child.Child {
    const [front, ready, control, firstInternalPort, lastInternalPort] = this.ports;
    const zone = simulatorMessage.ZONES[index % simulatorMessage.ZONES.length];
    const dataFolder = isControl ? path.join(this.folder, node) : null;
    if (dataFolder !== null) {
      fs.mkdirSync(dataFolder);
    }
    const settings = {
      node,
      ip: host,
      zone,
      region: simulatorMessage.REGIONS[zone],
      zones: simulatorMessage.REGIONS,
      listen: isControl
        ? { control: `${host}:${control}` }
        : { front: `${host}:${front}`, ready: `${host}:${ready}` },
      internal_ports: [firstInternalPort, lastInternalPort],
      seeds: [0, 1, 2].map((seed) => `${controlHost(seed)}:${control}`),
      bootstrap: true,
      data_dir: dataFolder,
      fault_tolerance: { machines: 2 },
      bounds: { retry_budget_ratio: 0.2, retry_budget_slack: 214, version_ms: 10_000 },
      cloud_api: { addr: vmListAddress },
    };
    const file = path.join(this.folder, `${node}.yaml`);
    fs.writeFileSync(file, yaml.stringify(settings));
    return child.Child.start(this.program, [], {
      environment: { FIGLINE_BOOT: file },
      nodeArguments: [...this.nodeArguments, ...this.profileArguments(node)],
    });
  }

  private profileArguments(node: string): readonly string[] {
    return this.profileFolder === undefined
      ? []
      : [
          '--cpu-prof',
          `--cpu-prof-dir=${this.profileFolder}`,
          `--cpu-prof-name=${node}.cpuprofile`,
          '--cpu-prof-interval=500',
        ];
  }

  private async callAsOperator(method: string, target: string, body: string): Promise<void> {
    const url = `http://${controlHost(0)}:${this.ports[Port.Control]}${target}`;
    await this.retryUntilDone(async () => (await fetch(url, { method, body })).ok);
  }

  /** Retries until the attempt succeeds, because the daemons do not listen at first. */
  private async retryUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    const deadline = this.time.monotonic() + START_TIMEOUT_MILLISECONDS;
    while (this.time.monotonic() < deadline) {
      const isDone = await attempt().catch(() => false);
      if (isDone) {
        return;
      }
      await this.time.sleep(RETRY_INTERVAL_MILLISECONDS);
    }
    throw new Error(`the deployment did not start within ${START_TIMEOUT_MILLISECONDS} ms`);
  }

  private gatewayAddress(port: Port): string {
    return `${GATEWAY_HOST}:${this.ports[port]}`;
  }
}

const PORT_COUNT = 5;

const GATEWAY_HOST = '127.0.0.2';

const START_TIMEOUT_MILLISECONDS = 60_000;

const RETRY_INTERVAL_MILLISECONDS = 100;

function controlHost(control: number): string {
  return `127.0.0.${10 + control}`;
}

/** Ports that were free just before; the daemons use the same ones on several addresses. */
async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.listen(0, '0.0.0.0', resolve);
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  servers.forEach((server) => server.close());
  return ports;
}
