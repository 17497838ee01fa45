import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';

/** A JSON object that a process printed on one line. */
export type JsonLine = Readonly<Record<string, unknown>>;

/** A Node.js process that runs a script of this project. Its standard error is written to a file. */
export class ChildProcess {
  private readonly lines: JsonLine[] = [];

  private readonly pendingReads: (() => void)[] = [];

  /** Resolves with the exit code, or `null` after a signal. */
  readonly exit: Promise<number | null>;

  private hasExited = false;

  private constructor(
    private readonly child: childProcess.ChildProcess,
    readonly errorFile: string,
  ) {
    this.exit = new Promise((resolve) => {
      child.once('exit', (code) => {
        this.hasExited = true;
        this.pendingReads.splice(0).forEach((resume) => resume());
        resolve(code);
      });
    });
    readline.createInterface({ input: child.stdout! }).on('line', (line) => this.read(line));
  }

  /**
   * Starts a compiled script.
   *
   * @example
   * const daemon = ChildProcess.start('dist/src/bin/figlined.js', flags, '/tmp/daemon-1.log');
   */
  static start(
    script: string,
    commandArguments: readonly string[],
    errorFile: string,
  ): ChildProcess {
    const errors = fs.openSync(errorFile, 'a');
    const child = childProcess.spawn(process.execPath, [script, ...commandArguments], {
      stdio: ['ignore', 'pipe', errors],
      env: { PATH: process.env.PATH },
    });
    fs.closeSync(errors);
    return new ChildProcess(child, errorFile);
  }

  get isRunning(): boolean {
    return !this.hasExited;
  }

  /** Resolves with the next `count` lines of standard output; rejects when the process ends earlier. */
  async readLines(count: number): Promise<readonly JsonLine[]> {
    while (this.lines.length < count) {
      if (this.hasExited) {
        throw new Error(`process ended early: ${fs.readFileSync(this.errorFile, 'utf8')}`);
      }
      await new Promise<void>((resolve) => {
        this.pendingReads.push(resolve);
      });
    }
    return this.lines.splice(0, count);
  }

  /** Sends a signal to this process only; does nothing after its exit. */
  signal(name: NodeJS.Signals): void {
    if (!this.hasExited) {
      this.child.kill(name);
    }
  }

  private read(line: string): void {
    if (line.startsWith('{')) {
      this.lines.push(JSON.parse(line));
      this.pendingReads.splice(0).forEach((resume) => resume());
    }
  }
}
