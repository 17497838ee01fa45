import * as backend from '../../backend';
import * as child from './child';
import * as documents from './documents';

/** One emulated backend server. */
export interface EmulatedServer {
  readonly kind: backend.BackendKind;
  readonly port: number;
}

/** Number and properties of the emulated servers, and number of their processes. */
export interface EmulatorPlan {
  readonly engines: number;
  readonly plainServices: number;
  readonly engineProcesses: number;
  /** Requests in the batch of one engine. */
  readonly slots: number;
  readonly decodeTokensPerSecond: number;
}

/** Processes of emulated backend servers. */
export class Emulators {
  readonly servers: EmulatedServer[] = [];

  private readonly children: child.Child[] = [];

  /** Starts the servers and adds them to `servers`, engines first. */
  async start(plan: EmulatorPlan): Promise<void> {
    const options = {
      model: documents.MODEL,
      slots: plan.slots,
      decodeTokensPerSecond: plan.decodeTokensPerSecond,
      // Makes prefill negligible, because the measurements do not include it.
      prefillTokensPerSecond: 10_000_000,
    };
    const perProcess = Math.ceil(plan.engines / plan.engineProcesses);
    for (let remaining = plan.engines; remaining > 0; remaining -= perProcess) {
      const count = Math.min(remaining, perProcess);
      await this.startKind(backend.BackendKind.ModelEngine, 'engine', count, options);
    }
    if (plan.plainServices > 0) {
      await this.startKind(backend.BackendKind.PlainService, 'plain', plan.plainServices, {});
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.children.map((process) => process.stop()));
  }

  private async startKind(
    kind: backend.BackendKind,
    emulator: string,
    count: number,
    options: object,
  ): Promise<void> {
    const flags = ['--kind', emulator, '--count', String(count)];
    const started = child.Child.start('emulator/run.js', [
      ...flags,
      '--options',
      JSON.stringify(options),
    ]);
    this.children.push(started);
    for (let index = 0; index < count; index += 1) {
      const { port } = await started.nextLine<{ port: number }>();
      this.servers.push({ kind, port });
    }
  }
}
