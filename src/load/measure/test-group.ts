import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as clock from '../../clock';
import * as configuration from '../../configuration';
import * as child from './child';
import * as documents from './documents';
import type * as emulators from './emulators';
import * as machineListWriter from './machine-list-writer';
import * as controlPeerMessage from './control-peer-message';
import * as controlPeerProcess from './control-peer-process';

/** Ports that `figlined` prints when it listens. */
interface DaemonPorts {
  readonly callerPort: number;
  readonly operatorPort: number;
}

/**
 * The daemons around one daemon under test: three control replicas, each in its own process, one peer that
 * proposes revisions and claims, and further peers, several in each process. Peers have links to the replicas
 * and the daemon, but not to each other; the daemon and the replicas have as many links as in a full mesh.
 */
export class TestGroup {
  daemon!: child.Child;

  callerUrl = '';

  /** The replicas, then the proposing peer, then processes of several peers. */
  readonly peerProcesses: controlPeerProcess.ControlPeerProcess[] = [];

  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-measure-'));

  private readonly time = new clock.SystemClock();

  private revision = 0;

  /**
   * Starts all processes and waits until the daemon accepts requests.
   *
   * @param peers daemons besides the one under test, at least 4
   */
  async start(peers: number, servers: readonly emulators.EmulatedServer[]): Promise<void> {
    this.setServers(servers);
    const preSharedKey = crypto.randomBytes(SECRET_BYTES).toString('hex');
    const addresses = await this.startPeerProcesses(peers, preSharedKey);
    const replicas = addresses.slice(0, REPLICAS);
    await this.peerProcesses.reduce(async (previous, peerProcess) => {
      await previous;
      await peerProcess.call({
        kind: controlPeerMessage.ControlPeerRequestKind.Join,
        peers: replicas,
        replicas,
      });
    }, Promise.resolve());
    await this.publish([
      ...documents.services(SLOTS),
      ...Array.from({ length: TEAMS }, (_unused, index) => documents.team(index)),
    ]);
    await this.startDaemon(addresses, replicas, preSharedKey);
  }

  setServers(servers: readonly emulators.EmulatedServer[]): void {
    machineListWriter.writeMachineList(this.filePath('machines.json'), servers);
  }

  /** Publishes through the proposing peer, which waits while the group elects its first leader. */
  async publish(upserts: readonly configuration.ConfigurationDocument[]): Promise<void> {
    const proposer = this.peerProcesses[REPLICAS];
    const sample = await proposer.call<controlPeerMessage.ControlPeerSample>({
      kind: controlPeerMessage.ControlPeerRequestKind.Sample,
      withHeap: false,
    });
    const command = documents.publishCommand(Math.max(this.revision, sample.revision), upserts);
    const kind = controlPeerMessage.ControlPeerRequestKind.Propose;
    const isAccepted = await proposer.call<boolean>({ kind, command });
    if (!isAccepted) {
      throw new Error('the control group did not accept the configuration');
    }
    this.revision = command.baseRevision + 1;
  }

  async stop(): Promise<void> {
    await this.daemon?.stop();
    await Promise.all(this.peerProcesses.map((peerProcess) => peerProcess.stop()));
    fs.rmSync(this.folder, { recursive: true });
  }

  private async startPeerProcesses(peers: number, preSharedKey: string): Promise<string[]> {
    const groups = groupNodes(peers, this.folder);
    const addresses: string[] = [];
    for (const nodes of groups) {
      const peerProcess = new controlPeerProcess.ControlPeerProcess();
      this.peerProcesses.push(peerProcess);
      const kind = controlPeerMessage.ControlPeerRequestKind.Listen;
      addresses.push(...(await peerProcess.call<string[]>({ kind, nodes, preSharedKey })));
    }
    return addresses;
  }

  private async startDaemon(
    addresses: readonly string[],
    replicas: readonly string[],
    preSharedKey: string,
  ): Promise<void> {
    const flags = {
      'daemon-id': controlPeerMessage.MEASURED_DAEMON,
      zone: 'zone-a',
      region: 'region-a',
      listen: '127.0.0.1:0',
      'operator-listen': '127.0.0.1:0',
      'peer-listen': '127.0.0.1:0',
      peers: addresses.join(','),
      replicas: replicas.join(','),
      'pre-shared-key-file': this.writeSecret('peer.key', preSharedKey),
      'operator-token-file': this.writeSecret('operator.token', crypto.randomUUID()),
      'vm-list': `file:${this.filePath('machines.json')}`,
      'log-level': 'warning',
    };
    const commandArguments = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
    this.daemon = child.Child.start('bin/figlined.js', commandArguments);
    const ports = await this.daemon.nextLine<DaemonPorts>();
    this.callerUrl = `http://127.0.0.1:${ports.callerPort}`;
    await this.waitUntilReady();
  }

  private async waitUntilReady(): Promise<void> {
    const deadline = this.time.monotonic() + READY_TIMEOUT_MILLISECONDS;
    while (this.time.monotonic() < deadline) {
      const answer = await fetch(`${this.callerUrl}/readyz`);
      await answer.arrayBuffer();
      if (answer.ok) {
        return;
      }
      await this.time.sleep(READY_POLL_MILLISECONDS);
    }
    throw new Error('the daemon did not become ready: GET /readyz did not succeed in time');
  }

  private filePath(name: string): string {
    return path.join(this.folder, name);
  }

  private writeSecret(name: string, text: string): string {
    fs.writeFileSync(this.filePath(name), `${text}\n`, { mode: 0o600 });
    return this.filePath(name);
  }
}

/** Present numbers (docs/design.md, 1.2). */
export const TEAMS = 8;
export const REPLICAS = 3;

const SLOTS = 64;
const SECRET_BYTES = 32;
const READY_TIMEOUT_MILLISECONDS = 20_000;
const READY_POLL_MILLISECONDS = 50;

// Limits the number of processes; the report does not include their CPU time.
const PEERS_PER_PROCESS = 12;

function groupNodes(peers: number, folder: string): controlPeerMessage.ControlPeerNode[][] {
  const nodes = Array.from({ length: peers }, (_unused, index) => ({
    daemonId: `peer-${index}`,
    zone: `zone-${index % REPLICAS}`,
    ...(index < REPLICAS ? { dataFolder: path.join(folder, `replica-${index}`) } : {}),
  }));
  const groups = nodes.slice(0, REPLICAS + 1).map((node) => [node]);
  for (let index = REPLICAS + 1; index < nodes.length; index += PEERS_PER_PROCESS) {
    groups.push(nodes.slice(index, index + PEERS_PER_PROCESS));
  }
  return groups;
}
