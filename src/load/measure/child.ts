import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as readline from 'node:readline';

/** Options for the start of a module. */
export interface ChildOptions {
  /** Arguments of Node.js itself. */
  readonly nodeArguments?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

/** A process started for a measurement, whose output is JSON lines. */
export class Child {
  private readonly lines: string[] = [];

  private readonly waiters: (() => void)[] = [];

  private readonly exited: Promise<void>;

  private hasExited = false;

  private constructor(private readonly process: childProcess.ChildProcess) {
    readline.createInterface({ input: process.stdout! }).on('line', (line) => {
      this.lines.push(line);
      this.waiters.splice(0).forEach((wake) => wake());
    });
    this.exited = new Promise((resolve) => {
      process.once('exit', () => {
        this.hasExited = true;
        this.waiters.splice(0).forEach((wake) => wake());
        resolve();
      });
    });
  }

  /**
   * Starts a compiled module of this repository.
   *
   * @param module path below the compiled sources, for example `bin/figlined.js`, or an absolute one
   */
  static start(
    module: string,
    commandArguments: readonly string[],
    { nodeArguments = [], environment = {} }: ChildOptions = {},
  ): Child {
    const file = path.resolve(__dirname, '..', '..', module);
    const options: childProcess.SpawnOptions = {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { ...process.env, ...environment },
    };
    const all = [...nodeArguments, file, ...commandArguments];
    return new Child(childProcess.spawn(process.execPath, all, options));
  }

  get pid(): number {
    return this.process.pid!;
  }

  /** The next line of output as JSON. Rejects when the process ended without one. */
  async nextLine<Value>(): Promise<Value> {
    while (this.lines.length === 0) {
      if (this.hasExited) {
        throw new Error(`process ${this.pid} ended without the expected output`);
      }
      await new Promise<void>((resolve) => {
        this.waiters.push(resolve);
      });
    }
    return JSON.parse(this.lines.shift()!);
  }

  /** Waits for the end of the process and prints its output; rejects when it fails. */
  async forwardOutput(): Promise<void> {
    await this.exited;
    process.stdout.write(this.lines.map((line) => `${line}\n`).join(''));
    if (this.process.exitCode !== 0) {
      throw new Error(`process ${this.pid} ended with code ${this.process.exitCode}`);
    }
  }

  /** Sends SIGTERM and waits for the end, at which the process writes its profile, if one is enabled. */
  async terminate(): Promise<void> {
    if (!this.hasExited) {
      this.process.kill('SIGTERM');
    }
    await this.exited;
  }

  /** Kills the process at once, because the measurements do not include a graceful shutdown. */
  async stop(): Promise<void> {
    if (!this.hasExited) {
      this.process.kill('SIGKILL');
    }
    await this.exited;
  }
}
