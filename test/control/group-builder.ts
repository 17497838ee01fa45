import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as clock from '../../src/clock';
import * as configuration from '../../src/configuration';
import * as control from '../../src/control';
import * as lifecycle from '../../src/lifecycle';
import * as storage from '../../src/storage';
import * as wire from '../../src/wire';

export const PRE_SHARED_KEY = 'test-key';

const time = new clock.SystemClock();

/** Several control nodes in this process, over real sockets on loopback. */
export class TestGroup {
  readonly nodes: control.ControlNode[] = [];

  addresses: string[] = [];

  replicas: string[] = [];

  private constructor(
    readonly folder: string,
    private readonly clocks: readonly clock.Clock[],
  ) {}

  /** Starts `replicas` nodes with a data folder and `others` without one. */
  static async start(
    replicas: number,
    others = 0,
    fileSystems: readonly storage.FileSystem[] = [],
    clocks: readonly clock.Clock[] = [],
  ): Promise<TestGroup> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'figline-control-'));
    const group = new TestGroup(folder, clocks);
    for (let index = 0; index < replicas + others; index += 1) {
      const options = group.options(index, index < replicas);
      const node = new control.ControlNode({ ...options, fileSystem: fileSystems[index] });
      group.nodes.push(node);
      group.addresses.push(await node.listen());
    }
    group.replicas = group.addresses.slice(0, replicas);
    await Promise.all(group.nodes.map((node) => node.join(group.addresses, group.replicas)));
    return group;
  }

  /** Starts a node again under its old address and data folder, or a further one without a folder. */
  async restart(index: number): Promise<control.ControlNode> {
    const address = this.addresses[index];
    const port = address === undefined ? 0 : wire.parseAddress(address).port;
    const options = this.options(index, index < this.replicas.length, port);
    const node = await control.ControlNode.start(options);
    this.nodes[index] = node;
    await node.ready();
    return node;
  }

  options(index: number, hasFolder: boolean, listenPort = 0): control.ControlNodeOptions {
    return {
      daemonId: `daemon-${index}-${Math.random()}`,
      zone: `zone-${index % 3}`,
      listenHost: '127.0.0.1',
      listenPort,
      peers: this.addresses,
      replicas: this.replicas,
      preSharedKey: PRE_SHARED_KEY,
      dataFolder: hasFolder ? this.folderOf(index) : undefined,
      clock: this.clocks[index] ?? time,
      random: new clock.SystemRandomSource(),
      lifecycle: new lifecycle.LifecycleManager(time),
    };
  }

  folderOf(index: number): string {
    return path.join(this.folder, `replica-${index}`);
  }

  async leaderIndex(): Promise<number> {
    await until(() => this.nodes.some((node) => isLeader(node)));
    return this.nodes.findIndex((node) => isLeader(node));
  }

  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.close()));
    await fs.rm(this.folder, { recursive: true });
  }
}

export function isLeader(node: control.ControlNode): boolean {
  return node.status().role === control.ReplicaRole.Leader;
}

/** Waits for a condition; the time limit only ends a test that has already failed. */
export async function until(holds: () => boolean, milliseconds = 15_000): Promise<void> {
  const deadline = time.monotonic() + milliseconds;
  while (!holds()) {
    if (time.monotonic() > deadline) {
      throw new Error('condition did not become true in time');
    }
    await time.sleep(10);
  }
}

export function team(name: string): configuration.ConfigurationDocument {
  return {
    kind: configuration.DocumentKind.Team,
    name,
    share: 1,
    credentialHashes: ['0'.repeat(64)],
    services: ['ledger'],
  };
}

export function publish(publishId: string, baseRevision: number): control.PublishCommand {
  return {
    kind: control.CommandKind.Publish,
    publishId,
    author: 'operator',
    baseRevision,
    upserts: [team(publishId)],
    removals: [],
  };
}

export function claim(key: string, attemptId: string): control.ClaimCommand {
  return {
    kind: control.CommandKind.Claim,
    team: 'roasters',
    key,
    attemptId,
    fingerprint: 'body',
    daemonId: 'daemon',
  };
}

/** A publish that changes the only document of the configuration. */
export function changeTeam(baseRevision: number): control.PublishCommand {
  const command = publish(`publish-${baseRevision}`, baseRevision);
  return { ...command, upserts: [{ ...team('only'), share: baseRevision + 1 } as never] };
}
