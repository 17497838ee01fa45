import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as backend from '../backend';
import * as command from '../command';
import * as configuration from '../configuration';
import * as backendProcess from './backend-process';
import * as daemonProcess from './daemon-process';
import * as httpCall from './http-call';
import * as peerAddresses from './peer-addresses';

/** Number of processes of a cluster, and their options. */
export interface ClusterOptions {
  readonly daemons: number;
  readonly engines: number;
  readonly services: number;
  readonly engineOptions?: object;
  readonly serviceOptions?: object;
  readonly daemonFlags?: readonly string[];
}

/** Names of the services that the emulated servers belong to. */
export interface ServiceNames {
  readonly model: string;
  readonly plain: string;
}

/**
 * Daemons and emulated backend servers as processes on this machine, in three availability zones, with the
 * control state on disk in a temporary folder. Used by the demo and by tests with real processes.
 */
export class LocalCluster {
  readonly daemons: daemonProcess.DaemonProcess[] = [];

  readonly engines: backendProcess.BackendProcess[] = [];

  readonly services: backendProcess.BackendProcess[] = [];

  readonly operatorToken = crypto.randomBytes(32).toString('hex');

  private constructor(
    readonly folder: string,
    private readonly names: ServiceNames,
  ) {}

  /** Starts all processes; the daemons become ready once a configuration is published. */
  static async start(options: ClusterOptions, names: ServiceNames): Promise<LocalCluster> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'figline-'));
    const cluster = new LocalCluster(folder, names);
    try {
      await cluster.startBackends(options);
      await cluster.createDaemons(options);
      await cluster.writeMachineLists(cluster.machines());
      await Promise.all(cluster.daemons.map((daemon) => daemon.start()));
    } catch (error) {
      await cluster.close();
      throw error;
    }
    return cluster;
  }

  get tokenFile(): string {
    return path.join(this.folder, 'operator.token');
  }

  /** Records of all backend servers, each as live. */
  machines(): readonly backend.MachineRecord[] {
    return [...this.engines, ...this.services].map((server) => server.machine);
  }

  /** Replaces the VM list of every daemon. */
  async writeMachineLists(machines: readonly backend.MachineRecord[]): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.writeMachineList(machines)));
  }

  /** Starts another engine; it is on the VM lists after the next `writeMachineLists`. */
  async addEngine(id: string, options: object = {}): Promise<backendProcess.BackendProcess> {
    const kind = backend.BackendKind.ModelEngine;
    const record = recordOf(id, this.engines.length, this.names.model, kind);
    const engine = await backendProcess.BackendProcess.start(record, options, this.folder);
    this.engines.push(engine);
    return engine;
  }

  /** Publishes documents through the first daemon and returns the new revision. */
  async publish(documents: readonly configuration.ConfigurationDocument[]): Promise<number> {
    const [daemon] = this.daemons;
    const base = await this.operatorGet(daemon, command.OperatorPath.Configuration);
    const body = {
      publishId: crypto.randomUUID(),
      author: 'local-cluster',
      baseRevision: base.revision,
      upserts: documents,
      removals: [],
    };
    const answer = await httpCall.send({
      port: daemon.operatorPort,
      method: 'POST',
      path: command.OperatorPath.Publish,
      token: this.operatorToken,
      body: JSON.stringify(body),
    });
    if (answer.status !== 200) {
      throw new Error(`publish failed with ${answer.status}: ${answer.text}`);
    }
    return JSON.parse(answer.text).revision;
  }

  /** Resolves when every daemon is ready. */
  async awaitReady(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.awaitReady()));
  }

  /** Kills every process of the cluster and removes its files. */
  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all([...this.engines, ...this.services].map((server) => server.kill()));
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  private async operatorGet(
    daemon: daemonProcess.DaemonProcess,
    operatorPath: command.OperatorPath,
  ): Promise<command.ConfigurationResponse> {
    const answer = await httpCall.send({
      port: daemon.operatorPort,
      method: 'GET',
      path: operatorPath,
      token: this.operatorToken,
    });
    return command.configurationResponseSchema.parse(JSON.parse(answer.text));
  }

  private async startBackends(options: ClusterOptions): Promise<void> {
    const { engineOptions = {}, serviceOptions = {} } = options;
    await Promise.all(
      Array.from({ length: options.engines }, (_, index) => {
        const kind = backend.BackendKind.ModelEngine;
        const record = recordOf(`desk-${index + 1}`, index, this.names.model, kind);
        return backendProcess.BackendProcess.start(record, engineOptions, this.folder);
      }),
    ).then((started) => this.engines.push(...started));
    await Promise.all(
      Array.from({ length: options.services }, (_, index) => {
        const kind = backend.BackendKind.PlainService;
        const record = recordOf(`ledger-${index + 1}`, index, this.names.plain, kind);
        return backendProcess.BackendProcess.start(record, serviceOptions, this.folder);
      }),
    ).then((started) => this.services.push(...started));
  }

  private async createDaemons(options: ClusterOptions): Promise<void> {
    const keyFile = path.join(this.folder, 'peer.key');
    await writeSecret(keyFile, crypto.randomBytes(32).toString('hex'));
    await writeSecret(this.tokenFile, this.operatorToken);
    const peers = peerAddresses.peerAddresses(process.pid, clustersStarted, options.daemons);
    clustersStarted += 1;
    for (let index = 0; index < options.daemons; index += 1) {
      const folder = path.join(this.folder, `daemon-${index + 1}`);
      await fs.mkdir(folder);
      const { zone, region } = ZONES[index % ZONES.length];
      this.daemons.push(
        new daemonProcess.DaemonProcess({
          daemonId: `daemon-${index + 1}`,
          zone,
          region,
          peerListen: peers[index],
          peers,
          folder,
          keyFile,
          tokenFile: this.tokenFile,
          hasReplica: index < daemonProcess.REPLICAS,
          extraFlags: options.daemonFlags,
        }),
      );
    }
  }
}

/** Clusters that this process has started so far. */
let clustersStarted = 0;

const ZONES = [
  { zone: 'pl-caudan', region: 'port-louis' },
  { zone: 'cp-forest', region: 'port-louis' },
  { zone: 'mb-waterfront', region: 'port-louis' },
];

async function writeSecret(file: string, secret: string): Promise<void> {
  await fs.writeFile(file, `${secret}\n`, { mode: 0o600 });
}

function recordOf(id: string, index: number, service: string, kind: backend.BackendKind) {
  return { id, ...ZONES[index % ZONES.length], service, kind };
}
