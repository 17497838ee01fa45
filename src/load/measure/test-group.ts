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
import * as standInMessage from './stand-in-message';
import * as standInProcess from './stand-in-process';

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
  readonly standIns: standInProcess.StandInProcess[] = [];

  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'figline-measure-'));

  private readonly time = new clock.SystemClock();

  private revision = 0;

  /**
   * Starts all processes and waits until the daemon accepts requests.
   *
   * @param peers daemons besides the one under test, at least 4
   */
  async start(peers: number, servers: readonly emulators.Emulated[]): Promise<void> {
    this.setServers(servers);
    const preSharedKey = crypto.randomBytes(SECRET_BYTES).toString('hex');
    const addresses = await this.startStandIns(peers, preSharedKey);
    const replicas = addresses.slice(0, REPLICAS);
    await this.standIns.reduce(async (before, standIn) => {
      await before;
      await standIn.call({
        kind: standInMessage.StandInRequestKind.Join,
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

  setServers(servers: readonly emulators.Emulated[]): void {
    machineListWriter.writeMachineList(this.file('machines.json'), servers);
  }

  /** Publishes through the proposing peer, which waits while the group elects its first leader. */
  async publish(upserts: readonly configuration.ConfigurationDocument[]): Promise<void> {
    const proposer = this.standIns[REPLICAS];
    const sample = await proposer.call<standInMessage.StandInSample>({
      kind: standInMessage.StandInRequestKind.Sample,
      withHeap: false,
    });
    const command = documents.publishCommand(Math.max(this.revision, sample.revision), upserts);
    const kind = standInMessage.StandInRequestKind.Propose;
    const isAccepted = await proposer.call<boolean>({ kind, command });
    if (!isAccepted) {
      throw new Error('the control group accepted no configuration');
    }
    this.revision = command.baseRevision + 1;
  }

  async stop(): Promise<void> {
    await this.daemon?.stop();
    await Promise.all(this.standIns.map((standIn) => standIn.stop()));
    fs.rmSync(this.folder, { recursive: true });
  }

  private async startStandIns(peers: number, preSharedKey: string): Promise<string[]> {
    const groups = nodeGroups(peers, this.folder);
    const addresses: string[] = [];
    for (const nodes of groups) {
      const standIn = new standInProcess.StandInProcess();
      this.standIns.push(standIn);
      const kind = standInMessage.StandInRequestKind.Listen;
      addresses.push(...(await standIn.call<string[]>({ kind, nodes, preSharedKey })));
    }
    return addresses;
  }

  private async startDaemon(
    addresses: readonly string[],
    replicas: readonly string[],
    preSharedKey: string,
  ): Promise<void> {
    const flags = {
      'daemon-id': standInMessage.MEASURED_DAEMON,
      zone: 'zone-a',
      region: 'region-a',
      listen: '127.0.0.1:0',
      'operator-listen': '127.0.0.1:0',
      'peer-listen': '127.0.0.1:0',
      peers: addresses.join(','),
      replicas: replicas.join(','),
      'pre-shared-key-file': this.secret('peer.key', preSharedKey),
      'operator-token-file': this.secret('operator.token', crypto.randomUUID()),
      'vm-list': `file:${this.file('machines.json')}`,
      'log-level': 'warning',
    };
    const commandArguments = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
    this.daemon = child.Child.start('bin/figlined.js', commandArguments);
    const ports = await this.daemon.nextLine<DaemonPorts>();
    this.callerUrl = `http://127.0.0.1:${ports.callerPort}`;
    await this.waitUntilReady();
  }

  private async waitUntilReady(): Promise<void> {
    const deadline = this.time.monotonic() + READY_MILLISECONDS;
    while (this.time.monotonic() < deadline) {
      const answer = await fetch(`${this.callerUrl}/readyz`);
      await answer.arrayBuffer();
      if (answer.ok) {
        return;
      }
      await this.time.sleep(READY_POLL_MILLISECONDS);
    }
    throw new Error('the daemon did not become ready');
  }

  private file(name: string): string {
    return path.join(this.folder, name);
  }

  private secret(name: string, text: string): string {
    fs.writeFileSync(this.file(name), `${text}\n`, { mode: 0o600 });
    return this.file(name);
  }
}

/** Present numbers (docs/design.md, 1.2). */
export const TEAMS = 8;
export const REPLICAS = 3;

const SLOTS = 64;
const SECRET_BYTES = 32;
const READY_MILLISECONDS = 20_000;
const READY_POLL_MILLISECONDS = 50;

// Limits the number of processes; the report does not include their CPU time.
const PEERS_PER_PROCESS = 12;

function nodeGroups(peers: number, folder: string): standInMessage.StandInNode[][] {
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
