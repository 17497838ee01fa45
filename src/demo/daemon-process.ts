import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as backend from '../backend';
import * as childProcess from './child-process';
import * as httpCall from './http-call';

/** Where a daemon process runs and what it shares with the others. */
export interface DaemonProcessOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly region: string;
  readonly peerListen: string;
  /** Peer addresses of all daemons. */
  readonly peers: readonly string[];
  /** Folder of this daemon's files. */
  readonly folder: string;
  readonly keyFile: string;
  readonly tokenFile: string;
  readonly hasReplica: boolean;
  readonly extraFlags?: readonly string[];
}

/** A daemon that runs in a process of its own and can be started again after it was killed. */
export class DaemonProcess {
  callerPort = 0;

  operatorPort = 0;

  private process: childProcess.ChildProcess | undefined;

  constructor(readonly options: DaemonProcessOptions) {}

  get isRunning(): boolean {
    return this.process?.isRunning ?? false;
  }

  /** Starts the process; resolves when its listeners accept connections. */
  async start(): Promise<void> {
    const script = path.join(__dirname, '../bin/figlined.js');
    const errorFile = path.join(this.options.folder, 'daemon.log');
    this.process = childProcess.ChildProcess.start(script, this.flags(), errorFile);
    const [line] = await this.process.readLines(1);
    this.callerPort = Number(line.callerPort);
    this.operatorPort = Number(line.operatorPort);
  }

  async isReady(): Promise<boolean> {
    try {
      const call = { port: this.callerPort, method: 'GET', path: '/readyz' };
      return (await httpCall.send(call)).status === 200;
    } catch {
      return false;
    }
  }

  /** Resolves when the daemon is ready; rejects after the time given. */
  async awaitReady(timeoutMilliseconds = 15_000): Promise<void> {
    const end = Date.now() + timeoutMilliseconds;
    while (!(await this.isReady())) {
      if (Date.now() > end || !this.isRunning) {
        throw new Error(`${this.options.daemonId} is not ready: ${await this.errors()}`);
      }
      await new Promise((resolve) => {
        setTimeout(resolve, READY_POLL_MILLISECONDS);
      });
    }
  }

  /** Replaces this daemon's copy of the VM list, or makes it unreadable. */
  async writeMachineList(machines: readonly backend.MachineRecord[] | undefined): Promise<void> {
    const file = this.machineFile();
    if (machines === undefined) {
      await fs.rm(file, { force: true });
      return;
    }
    await fs.writeFile(`${file}.new`, JSON.stringify({ machines }));
    await fs.rename(`${file}.new`, file);
  }

  signal(name: NodeJS.Signals): void {
    this.process?.signal(name);
  }

  /** Stops gracefully; resolves with the exit code. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return (await this.process?.exit) ?? null;
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.process?.exit;
  }

  /** What the daemon logged so far. */
  async errors(): Promise<string> {
    return fs.readFile(path.join(this.options.folder, 'daemon.log'), 'utf8');
  }

  private machineFile(): string {
    return path.join(this.options.folder, 'machines.json');
  }

  private flags(): readonly string[] {
    const { options: plan } = this;
    return [
      ['--daemon-id', plan.daemonId],
      ['--zone', plan.zone],
      ['--region', plan.region],
      ['--listen', '127.0.0.1:0'],
      ['--operator-listen', '127.0.0.1:0'],
      ['--peer-listen', plan.peerListen],
      ['--peers', plan.peers.join(',')],
      ['--replicas', plan.peers.slice(0, REPLICAS).join(',')],
      ...(plan.hasReplica ? [['--data-folder', path.join(plan.folder, 'data')]] : []),
      ['--pre-shared-key-file', plan.keyFile],
      ['--operator-token-file', plan.tokenFile],
      ['--vm-list', `file:${this.machineFile()}`],
      ...(plan.extraFlags === undefined ? [] : [plan.extraFlags]),
    ].flat();
  }
}

/** Daemons that host a replica of the control state, one in each zone. */
export const REPLICAS = 3;

const READY_POLL_MILLISECONDS = 10;
