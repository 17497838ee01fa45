import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

/** A backend server as an entry of the simulated list of VMs. */
export interface ListedServer {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly addr: string;
  readonly models?: readonly { readonly name: string; readonly version: number }[];
  /** Version of its software; `v1` if absent. */
  readonly softwareVersion?: string;
  /** `ready` if absent. */
  readonly state?: 'ready' | 'draining';
  /** Start of its process in Unix milliseconds; 1 if absent. */
  readonly born?: number;
}

/** Listening addresses and settings file of a process of the platform. */
export interface PlatformNode {
  readonly name: string;
  readonly settingsFile: string;
  /** Data folder of a control daemon. */
  readonly folder: string;
  /** Base URL for callers of a gateway, or for operators of a control daemon. */
  readonly url: string;
  /** URL of the readiness check of a gateway. */
  readonly readyUrl: string;
  /** URL of the metrics of a gateway. */
  readonly metricsUrl: string;
}

/**
 * Environment of processes of the platform: settings files, folders, and a simulated list of VMs. Each process has its
 * own address in 127.0.0.0/8, and all use the same ports.
 */
export class LoopbackEnvironment {
  readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-platform-'));

  /** Servers in the simulated list. */
  listedServers: readonly ListedServer[] = [];

  private readonly vmList = http.createServer((_request, response) =>
    response.end(
      JSON.stringify({ instances: this.listedServers.map(vmListEntryOf), next_page_token: null }),
    ),
  );

  private readonly networkPrefix = `127.${crypto.randomInt(1, 255)}.${crypto.randomInt(0, 255)}`;

  private ports!: Readonly<Record<'peer' | 'metrics' | 'front' | 'ready' | 'control', number>>;

  private addressCount = 0;

  /** @param replicaCount number of control daemons, which are created before the gateways */
  constructor(private readonly replicaCount = 1) {}

  /** Starts the list and chooses the ports. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.vmList.listen(0, VM_LIST_HOST, resolve);
    });
    const [peer, metrics, front, ready, control] = await freePorts(PORT_COUNT);
    this.ports = { peer, metrics, front, ready, control };
  }

  /** Writes the settings of a control daemon that may bootstrap the replica group. */
  controlDaemon(name: string): PlatformNode {
    const ip = this.nextAddress();
    const folder = path.join(this.folder, name);
    fs.mkdirSync(folder);
    const listen = { control: `${ip}:${this.ports.control}` };
    const settings = {
      ...this.commonSettings(name, ip),
      listen,
      bootstrap: true,
      data_dir: folder,
    };
    return this.writeSettings(settings, folder, listen.control, '', '');
  }

  /** Writes the settings of a gateway. */
  gateway(name: string): PlatformNode {
    const ip = this.nextAddress();
    const listen = { front: `${ip}:${this.ports.front}`, ready: `${ip}:${this.ports.ready}` };
    const settings = { ...this.commonSettings(name, ip), listen, data_dir: null };
    const metricsUrl = `http://${ip}:${this.ports.metrics}/metrics`;
    return this.writeSettings(
      settings,
      '',
      listen.front,
      `http://${listen.ready}/-/ready`,
      metricsUrl,
    );
  }

  async stop(): Promise<void> {
    this.vmList.closeAllConnections();
    await new Promise((resolve) => {
      this.vmList.close(resolve);
    });
    fs.rmSync(this.folder, { recursive: true });
  }

  private commonSettings(name: string, ip: string): NodeSettings {
    const { port } = this.vmList.address() as net.AddressInfo;
    return {
      node: name,
      ip,
      zone: ZONE,
      region: 'region-a',
      zones: { [ZONE]: 'region-a' },
      internal_ports: [this.ports.peer, this.ports.metrics],
      seeds: Array.from(
        { length: this.replicaCount },
        (_, index) => `${this.networkPrefix}.${index + 1}:${this.ports.control}`,
      ),
      fault_tolerance: { machines: Math.floor((this.replicaCount - 1) / 2) },
      bounds: { grace_s: GRACE_SECONDS },
      cloud_api: { addr: `${VM_LIST_HOST}:${port}` },
    };
  }

  private writeSettings(
    settings: NodeSettings,
    folder: string,
    address: string,
    readyUrl: string,
    metricsUrl: string,
  ): PlatformNode {
    const settingsFile = path.join(this.folder, `${settings.node}.yaml`);
    fs.writeFileSync(settingsFile, JSON.stringify(settings));
    const url = `http://${address}`;
    return { name: settings.node, settingsFile, folder, url, readyUrl, metricsUrl };
  }

  private nextAddress(): string {
    this.addressCount += 1;
    return `${this.networkPrefix}.${this.addressCount}`;
  }
}

/** Rewrites the settings of a process for its later starts, when the replica group exists. */
export function markDeployed({ settingsFile }: PlatformNode): void {
  const settings = JSON.parse(fs.readFileSync(settingsFile, 'utf8'));
  fs.writeFileSync(settingsFile, JSON.stringify({ ...settings, bootstrap: false }));
}

/**
 * Rewrites the seeds of a process, for its next start or while it runs.
 *
 * @param seeds control daemons that the settings name
 */
export function setSeeds({ settingsFile }: PlatformNode, seeds: readonly PlatformNode[]): void {
  const settings = JSON.parse(fs.readFileSync(settingsFile, 'utf8'));
  const addresses = seeds.map(({ url }) => new URL(url).host);
  // A running process must not read a file that is half written.
  fs.writeFileSync(`${settingsFile}.new`, JSON.stringify({ ...settings, seeds: addresses }));
  fs.renameSync(`${settingsFile}.new`, settingsFile);
}

/** Rewrites the time in which a process may stop, for its next start. */
export function setGrace({ settingsFile }: PlatformNode, seconds: number): void {
  const settings = JSON.parse(fs.readFileSync(settingsFile, 'utf8'));
  const bounds = { ...settings.bounds, grace_s: seconds };
  fs.writeFileSync(settingsFile, JSON.stringify({ ...settings, bounds }));
}

/** Activates a routing document; retries until the control daemon has a majority. */
export async function putRouting(node: PlatformNode, document: object): Promise<void> {
  const body = JSON.stringify(document);
  for (let attempt = 0; attempt < ROUTING_ATTEMPTS; attempt += 1) {
    const response = await fetch(`${node.url}/-/config`, { method: 'PUT', body });
    if (response.ok) {
      return;
    }
    if (response.status !== SERVICE_UNAVAILABLE) {
      throw new Error(
        `routing document rejected with status ${response.status}: ${await response.text()}`,
      );
    }
  }
  throw new Error('no majority acknowledged the routing document');
}

interface NodeSettings {
  readonly node: string;
  readonly [field: string]: unknown;
}

const VM_LIST_HOST = '127.0.0.1';
const ZONE = 'zone-a';
const PORT_COUNT = 5;
const SERVICE_UNAVAILABLE = 503;

/** Each attempt without a majority lasts a second. */
const ROUTING_ATTEMPTS = 30;

/** Grace time of the platform; a gateway spends a part of it waiting for the load balancer. */
const GRACE_SECONDS = 8;

function vmListEntryOf({
  id,
  service,
  addr,
  models = [],
  softwareVersion: version = 'v1',
  state = 'ready',
  born = 1,
}: ListedServer): object {
  return { id, service, addr, zone: ZONE, version, state, models, born };
}

/** Ports that the operating system has just assigned and released; it reuses them only after many others. */
async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, VM_LIST_HOST, () => resolve((server.address() as net.AddressInfo).port));
        }),
    ),
  );
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}
