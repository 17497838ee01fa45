import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import type * as simulatorMessage from './simulator-message';

/** Handle of a process that simulates the environment of the measured daemons. */
export class SimulatorProcess {
  private readonly child = childProcess.fork(path.join(__dirname, 'simulator.js'));

  private readonly pendingCalls: ((value: unknown) => void)[] = [];

  constructor() {
    this.child.on('message', ({ value }: { value: unknown }) => this.pendingCalls.shift()?.(value));
  }

  call<Value>(request: simulatorMessage.SimulatorRequest): Promise<Value> {
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
