import * as fs from 'node:fs';
import * as path from 'node:path';
import * as deployFile from '../../tools/local/deploy-file';
import * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as platformProcess from '../../tools/local/platform-process';
import type * as builtCheckout from './built-checkout';
import * as builder from './gateway-builder';

/** Three control daemons, as real processes, that a test starts for the first time and kills meanwhile. */
export class FirstStartSite {
  private readonly environment = new loopbackEnvironment.LoopbackEnvironment(CONTROL_DAEMONS);

  private nodes: readonly loopbackEnvironment.PlatformNode[] = [];

  private readonly running = new Map<number, platformProcess.PlatformProcess>();

  private readonly started: platformProcess.PlatformProcess[] = [];

  constructor(private readonly checkout: builtCheckout.BuiltCheckout) {}

  async prepare(): Promise<void> {
    await this.environment.start();
    this.nodes = Array.from({ length: CONTROL_DAEMONS }, (_, index) =>
      this.environment.controlDaemon(`core-${index + 1}`),
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.started.map((process) => process.stop('SIGKILL')));
    await this.environment.stop();
  }

  /** Starts control daemons, and waits until each has opened its disk. */
  async start(...indexes: readonly number[]): Promise<void> {
    await Promise.all(this.spawn(...indexes).map((process) => process.waitForLog('started')));
  }

  /** Starts control daemons without waiting for them. */
  spawn(...indexes: readonly number[]): readonly platformProcess.PlatformProcess[] {
    const { root } = this.checkout;
    const command = deployFile.commandOf(deployFile.Role.Control, root);
    return indexes.map((index) => {
      const { settingsFile } = this.nodes[index];
      const process = platformProcess.PlatformProcess.start(command, root, settingsFile);
      this.running.set(index, process);
      this.started.push(process);
      return process;
    });
  }

  /** Kills control daemons, which keep their disks and may not bootstrap a group when they are started again. */
  async kill(...indexes: readonly number[]): Promise<void> {
    await Promise.all(indexes.map((index) => this.running.get(index)!.stop('SIGKILL')));
    indexes.forEach((index) => loopbackEnvironment.markDeployed(this.nodes[index]));
  }

  loseDisk(index: number): void {
    const { folder } = this.nodes[index];
    fs.readdirSync(folder).forEach((file) => fs.rmSync(path.join(folder, file)));
  }

  /** Activates a routing document through a control daemon. */
  publish(index: number, version: number): Promise<void> {
    const document = { ...builder.document(PATIENCE_MILLISECONDS), version };
    return loopbackEnvironment.putRouting(this.nodes[index], document);
  }

  /** The version of the document that a control daemon returns, once it returns one. */
  async versionAt(index: number): Promise<number> {
    const end = performance.now() + READ_LIMIT_MILLISECONDS;
    while (performance.now() < end) {
      const response = await fetch(`${this.nodes[index].url}/-/config`).catch(() => undefined);
      if (response?.ok) {
        return ((await response.json()) as { readonly version: number }).version;
      }
      await pause(POLL_MILLISECONDS);
    }
    throw new Error(`control daemon ${index} returned no document`);
  }

  /** How many groups were formed. */
  get formedGroups(): number {
    return this.started.flatMap(({ log }) =>
      log.filter(({ message }) => message === 'bootstrapped the replica group'),
    ).length;
  }
}

/** Runs a test with a site of its own, which is always stopped. */
export async function run(
  checkout: builtCheckout.BuiltCheckout,
  work: (site: FirstStartSite) => Promise<void>,
): Promise<void> {
  const site = new FirstStartSite(checkout);
  try {
    await site.prepare();
    await work(site);
  } finally {
    await site.stop();
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

const CONTROL_DAEMONS = 3;
const PATIENCE_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 50;
const READ_LIMIT_MILLISECONDS = 20_000;
