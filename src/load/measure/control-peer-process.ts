import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import type * as controlPeerMessage from './control-peer-message';

/** Client of a process of control peers, which answers requests in order. */
export class ControlPeerProcess {
  private readonly child: childProcess.ChildProcess;

  private readonly pendingCalls: ((value: unknown) => void)[] = [];

  constructor() {
    this.child = childProcess.fork(path.join(__dirname, 'control-peer.js'), [], {
      execArgv: ['--expose-gc'],
    });
    this.child.on('message', ({ value }: { value: unknown }) => this.pendingCalls.shift()?.(value));
  }

  call<Value>(request: controlPeerMessage.ControlPeerRequest): Promise<Value> {
    return new Promise((resolve) => {
      this.pendingCalls.push(resolve as (value: unknown) => void);
      this.child.send(request);
    });
  }

  async stop(): Promise<void> {
    const exited = new Promise((resolve) => {
      this.child.once('exit', resolve);
    });
    this.child.kill('SIGKILL');
    await exited;
  }
}
