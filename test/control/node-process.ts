import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as control from '../../src/control';
import * as nodeMessage from './node-message';

interface NodeReply {
  readonly id: number;
  readonly value: unknown;
}

/** A child process that runs one control node. */
export class NodeProcess {
  private readonly waiting = new Map<number, (value: unknown) => void>();

  private nextId = 0;

  private constructor(private readonly child: childProcess.ChildProcess) {
    child.on('message', (reply: NodeReply) => {
      this.waiting.get(reply.id)?.(reply.value);
      this.waiting.delete(reply.id);
    });
  }

  /** Starts a process and resolves once it listens. */
  static async start(
    settings: nodeMessage.NodeSettings,
  ): Promise<{ process: NodeProcess; port: number }> {
    const program = path.join(__dirname, 'node-main.js');
    const child = childProcess.fork(program, [JSON.stringify(settings)]);
    const started = new NodeProcess(child);
    const port = (await started.reply(0)) as number;
    return { process: started, port };
  }

  /** Connects to the peers; resolves once the node is ready. */
  async join(
    peers: readonly string[],
    replicas: readonly string[],
  ): Promise<control.ControlStatus> {
    const kind = nodeMessage.NodeMessageKind.Join;
    return (await this.request({ kind, peers, replicas })) as control.ControlStatus;
  }

  async propose(
    command: control.Command,
    timeoutMilliseconds = 20_000,
  ): Promise<control.CommandResult> {
    const kind = nodeMessage.NodeMessageKind.Propose;
    return (await this.request({ kind, command, timeoutMilliseconds })) as control.CommandResult;
  }

  async status(): Promise<control.ControlStatus> {
    const kind = nodeMessage.NodeMessageKind.Status;
    return (await this.request({ kind })) as control.ControlStatus;
  }

  /** Sends a signal to this process; SIGKILL resolves once it has ended. */
  async signal(name: NodeJS.Signals): Promise<void> {
    this.child.kill(name);
    if (name === 'SIGKILL' && this.child.exitCode === null && this.child.signalCode === null) {
      await new Promise((resolve) => {
        this.child.once('exit', resolve);
      });
    }
  }

  private request(body: Omit<nodeMessage.NodeRequest, 'id'>): Promise<unknown> {
    this.nextId += 1;
    this.child.send({ ...body, id: this.nextId });
    return this.reply(this.nextId);
  }

  private reply(id: number): Promise<unknown> {
    return new Promise((resolve) => {
      this.waiting.set(id, resolve);
    });
  }
}
