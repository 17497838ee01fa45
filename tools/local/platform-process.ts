import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import * as processUsage from '../../src/load/measure/process-usage';

/** A line that a process of the platform logged. */
export interface LogLine {
  readonly message: string;
  readonly [field: string]: unknown;
}

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process as the platform starts it: with few environment variables, and logging to standard output. */
export class PlatformProcess {
  readonly exited: Promise<ProcessExit>;

  private readonly logLines: LogLine[] = [];

  private readonly waiters = new Set<() => void>();

  private standardErrorText = '';

  private exit: ProcessExit | undefined;

  private constructor(private readonly process: childProcess.ChildProcess) {
    if (process.stdout !== null) {
      const output = readline.createInterface({ input: process.stdout });
      output.on('line', (line) => this.receiveLine(line));
    }
    process.stderr!.on('data', (chunk) => {
      this.standardErrorText += chunk;
    });
    this.exited = new Promise((resolve) => {
      process.once('close', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
        this.notifyWaiting();
      });
    });
  }

  /**
   * Starts a process in the root of a built repository.
   *
   * @param command program and arguments, as in `run` of the deploy file
   * @param settingsFile settings of this process
   * @param logFile file that gets the log, which `log` and `waitForLog` then do not see
   *
   * @example
   * const gateway = PlatformProcess.start('node target/main.js', root, '/tmp/x/gateway.yaml');
   */
  static start(
    command: string,
    root: string,
    settingsFile: string,
    logFile?: string,
  ): PlatformProcess {
    const output = logFile === undefined ? undefined : fs.openSync(logFile, 'w');
    const [program, ...commandArguments] = command.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = childProcess.spawn(program, commandArguments, {
      cwd: root,
      stdio: ['ignore', output ?? 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, FIGLINE_BOOT: settingsFile },
    });
    if (output !== undefined) {
      fs.closeSync(output);
    }
    return new PlatformProcess(child);
  }

  /** Text that the process wrote to standard error. */
  get standardError(): string {
    return this.standardErrorText;
  }

  /** The lines logged so far. */
  get log(): readonly LogLine[] {
    return this.logLines;
  }

  /** Process id, which stays the same after the end of the process. */
  get id(): number {
    return this.process.pid!;
  }

  /** Processor time and memory usage so far. */
  usage(): processUsage.ProcessUsage {
    return processUsage.readUsage(this.process.pid!);
  }

  /** Whether a file with this text in its path, such as a native library, is mapped into the process. */
  hasMapped(text: string): boolean {
    return fs.readFileSync(`/proc/${this.process.pid}/maps`, 'utf8').includes(text);
  }

  /** Waits for a log line with a message. Rejects if the process ends without it. */
  async waitForLog(message: string): Promise<LogLine> {
    for (;;) {
      const found = this.logLines.find((line) => line.message === message);
      if (found !== undefined) {
        return found;
      }
      if (this.exit !== undefined) {
        throw new Error(
          `process exited (${JSON.stringify(this.exit)}) before it logged "${message}": ${this.standardError}`,
        );
      }
      await new Promise<void>((resolve) => {
        this.waiters.add(resolve);
      });
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.process.kill(signal);
  }

  /** Sends a signal, unless the process has ended, and waits for its end. */
  stop(signal: NodeJS.Signals): Promise<ProcessExit> {
    if (this.exit === undefined) {
      this.signal(signal);
    }
    return this.exited;
  }

  private receiveLine(line: string): void {
    this.logLines.push(line.startsWith('{') ? JSON.parse(line) : { message: line });
    this.notifyWaiting();
  }

  private notifyWaiting(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((resolve) => resolve());
  }
}
