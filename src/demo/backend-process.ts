import * as path from 'node:path';
import * as backend from '../backend';
import * as childProcess from './child-process';
import * as httpCall from './http-call';

/** One emulated backend server in a separate process. */
export class BackendProcess {
  private constructor(
    readonly machine: backend.MachineRecord,
    private readonly process: childProcess.ChildProcess,
    private readonly controlPort: number,
  ) {}

  /** Starts a server and resolves when it accepts connections. */
  static async start(
    record: Omit<backend.MachineRecord, 'host' | 'port' | 'phase'>,
    options: object,
    folder: string,
  ): Promise<BackendProcess> {
    const kind = record.kind === backend.BackendKind.PlainService ? 'plain' : 'engine';
    const started = childProcess.ChildProcess.start(
      path.join(__dirname, '../emulator/run.js'),
      ['--kind', kind, '--options', JSON.stringify(options)],
      path.join(folder, `${record.id}.log`),
    );
    const [line] = await started.readLines(1);
    const address = { host: String(line.host), port: Number(line.port) };
    const machine = { ...record, ...address, phase: backend.MachinePhase.Live };
    return new BackendProcess(machine, started, Number(line.controlPort));
  }

  /** Sends a command to the control endpoint, for example `leave` or `fault`, and returns the report. */
  async control<Report>(name: string, body: object = {}): Promise<Report> {
    const answer = await httpCall.send({
      port: this.controlPort,
      method: name === 'report' ? 'GET' : 'POST',
      path: `/${name}`,
      body: name === 'report' ? '' : JSON.stringify(body),
    });
    return JSON.parse(answer.text);
  }

  /** Stops gracefully, as the platform does. */
  async stop(): Promise<void> {
    this.process.signal('SIGTERM');
    await this.process.exit;
  }

  async kill(): Promise<void> {
    this.process.signal('SIGKILL');
    await this.process.exit;
  }
}
