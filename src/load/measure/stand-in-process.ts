import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import type * as standInMessage from './stand-in-message';

/** Client of a process of stand-ins, which answers requests in order. */
export class StandInProcess {
  private readonly child: childProcess.ChildProcess;

  private readonly waiting: ((value: unknown) => void)[] = [];

  constructor() {
    this.child = childProcess.fork(path.join(__dirname, 'stand-in.js'), [], {
      execArgv: ['--expose-gc'],
    });
    this.child.on('message', ({ value }: { value: unknown }) => this.waiting.shift()?.(value));
  }

  call<Value>(request: standInMessage.StandInRequest): Promise<Value> {
    return new Promise((resolve) => {
      this.waiting.push(resolve as (value: unknown) => void);
      this.child.send(request);
    });
  }

  async stop(): Promise<void> {
    const ended = new Promise((resolve) => {
      this.child.once('exit', resolve);
    });
    this.child.kill('SIGKILL');
    await ended;
  }
}
