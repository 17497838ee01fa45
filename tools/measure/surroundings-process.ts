import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import type * as message from './surroundings-message';

/** Handle of a process that simulates the environment of the measured daemons. */
export class SurroundingsProcess {
  private readonly child = childProcess.fork(path.join(__dirname, 'surroundings.js'));

  private readonly waiting: ((value: unknown) => void)[] = [];

  constructor() {
    this.child.on('message', ({ value }: { value: unknown }) => this.waiting.shift()?.(value));
  }

  call<Value>(request: message.SurroundingsRequest): Promise<Value> {
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
