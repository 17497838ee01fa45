import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as nodeProcess from './node-process';
import * as silentProxy from './silent-proxy';

const time = new clock.SystemClock();

/** Three replicas in processes of their own, each behind a proxy. */
export class ProcessGroup {
  readonly nodes: nodeProcess.NodeProcess[] = [];

  readonly proxies: silentProxy.SilentProxy[] = [];

  private starts = 0;

  private constructor(private readonly folder: string) {}

  static async start(): Promise<ProcessGroup> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'figline-processes-'));
    const group = new ProcessGroup(folder);
    for (let index = 0; index < 3; index += 1) {
      group.proxies.push(await silentProxy.SilentProxy.start());
    }
    await Promise.all([0, 1, 2].map((index) => group.startNode(index)));
    // Until the first entry has reached every node, the loss of the node that bootstrapped the group blocks
    // it.
    await Promise.all(
      [0, 1, 2].map((index) => group.find([index], ({ voters }) => voters.length === 3)),
    );
    return group;
  }

  async startNode(index: number): Promise<control.ControlStatus> {
    const proxy = this.proxies[index];
    this.starts += 1;
    const started = await nodeProcess.NodeProcess.start({
      daemonId: `daemon-${index}-${this.starts}`,
      listenPort: 0,
      advertisedAddress: proxy.address,
      dataFolder: this.folderOf(index),
    });
    proxy.target = started.port;
    this.nodes[index] = started.process;
    const addresses = this.proxies.map((entry) => entry.address);
    return started.process.join(addresses, addresses);
  }

  async loseDisk(index: number): Promise<void> {
    await fs.rm(this.folderOf(index), { recursive: true });
  }

  /** Waits until one of the given nodes leads. */
  async leader(indexes: readonly number[] = [0, 1, 2]): Promise<number> {
    return this.find(indexes, (status) => status.role === control.ReplicaRole.Leader);
  }

  /** Waits until the status of one of the given nodes meets a condition; the limit only ends failed tests. */
  async find(
    indexes: readonly number[],
    holds: (status: control.ControlStatus) => boolean,
  ): Promise<number> {
    for (const end = time.monotonic() + 20_000; time.monotonic() < end;) {
      for (const index of indexes) {
        if (holds(await this.nodes[index].status())) {
          return index;
        }
      }
      await time.sleep(20);
    }
    throw new Error('no node reached the expected state within 20 s');
  }

  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.signal('SIGKILL')));
    this.proxies.forEach((proxy) => proxy.close());
    await fs.rm(this.folder, { recursive: true });
  }

  private folderOf(index: number): string {
    return path.join(this.folder, `replica-${index}`);
  }
}
