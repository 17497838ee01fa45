import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as backend from '../backend';
import * as childProcess from './child-process';
import * as httpCall from './http-call';

/** Identity, addresses and files of a daemon process. */
export interface DaemonProcessOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly region: string;
  readonly peerListen: string;
  /** Peer addresses of all daemons. */
  readonly peers: readonly string[];
  /** Folder for the files of this daemon. */
  readonly folder: string;
  readonly keyFile: string;
  readonly tokenFile: string;
  readonly hasReplica: boolean;
  readonly extraFlags?: readonly string[];
}

/** A daemon in a separate process, which can be started again after it was killed. */
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

  /** Resolves when the daemon is ready; rejects when it is not ready in time or exits. */
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

  /** Replaces this daemon's copy of the VM list; removes it when `machines` is undefined. */
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

  /** Contents of the daemon's log. */
  async errors(): Promise<string> {
    return fs.readFile(path.join(this.options.folder, 'daemon.log'), 'utf8');
  }

  private machineFile(): string {
    return path.join(this.options.folder, 'machines.json');
  }

  private flags(): readonly string[] {
    const { options } = this;
    return [
      ['--daemon-id', options.daemonId],
      ['--zone', options.zone],
      ['--region', options.region],
      ['--listen', '127.0.0.1:0'],
      ['--operator-listen', '127.0.0.1:0'],
      ['--peer-listen', options.peerListen],
      ['--peers', options.peers.join(',')],
      ['--replicas', options.peers.slice(0, REPLICAS).join(',')],
      ...(options.hasReplica ? [['--data-folder', path.join(options.folder, 'data')]] : []),
      ['--pre-shared-key-file', options.keyFile],
      ['--operator-token-file', options.tokenFile],
      ['--vm-list', `file:${this.machineFile()}`],
      ...(options.extraFlags === undefined ? [] : [options.extraFlags]),
    ].flat();
  }
}

/** Daemons that host a replica of the control state, one in each zone. */
export const REPLICAS = 3;

const READY_POLL_MILLISECONDS = 10;
