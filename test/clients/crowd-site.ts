import * as fs from 'node:fs';
import * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as deployFile from '../../tools/local/deploy-file';
import * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as platformProcess from '../../tools/local/platform-process';
import type * as builtCheckout from '../platform/built-checkout';
import * as fakeBackendServer from '../platform/fake-backend-server';
import * as builder from '../platform/gateway-builder';
import * as callerCrowd from './caller-crowd';

/** Limits of the VM in the settings of the gateway. */
export interface VmLimits {
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}

/** A crowd, and what the gateway that it meets may use. */
export interface CrowdTrial extends VmLimits {
  readonly crowd: callerCrowd.Crowd;
  /** Answer of the backend server; a short one if absent. */
  readonly behaviour?: fakeBackendServer.ServerBehaviour;
  /** Size of the ordinary request; that of a small body if absent. */
  readonly bodyBytes?: number;
  /** How often the ordinary request is sent until it is served; a few times if absent. */
  readonly attempts?: number;
}

/**
 * Lets a crowd meet a gateway that is a real process. Its connections stay open while one ordinary request is sent, which has to
 * be answered. The process has to live, and its memory and descriptors must stay below the limits of its VM.
 */
export async function withstand(
  checkout: builtCheckout.BuiltCheckout,
  trial: CrowdTrial,
): Promise<void> {
  const site = new CrowdSite(checkout, trial);
  const crowd = new callerCrowd.CallerCrowd(trial.crowd);
  try {
    await site.start();
    await crowd.run(site.callerAddress);
    const status = await site.statusOfOrdinaryRequest();
    crowd.close();
    site.assertBounds(status);
  } finally {
    crowd.close();
    await site.stop();
  }
}

/** A control daemon, a gateway whose usage is watched, and a backend server. */
class CrowdSite {
  private readonly environment = new loopbackEnvironment.LoopbackEnvironment();

  private readonly server: fakeBackendServer.FakeBackendServer;

  private readonly processes: platformProcess.PlatformProcess[] = [];

  private front!: loopbackEnvironment.PlatformNode;

  private peakMegabytes = 0;

  private peakDescriptors = 0;

  private watch: NodeJS.Timeout | undefined;

  constructor(
    private readonly checkout: builtCheckout.BuiltCheckout,
    private readonly trial: CrowdTrial,
  ) {
    this.server = new fakeBackendServer.FakeBackendServer('i-1', [
      trial.behaviour ?? fakeBackendServer.answer('7 sacks'),
    ]);
  }

  get callerAddress(): URL {
    return new URL(this.front.url);
  }

  async start(): Promise<void> {
    await this.server.listen();
    await this.environment.start();
    const models = [{ name: 'desk-model', version: 3 }];
    const addr = `127.0.0.1:${this.server.port}`;
    this.environment.listedServers = [{ id: this.server.id, service: 'desk', addr, models }];
    const core = this.environment.controlDaemon('core-1');
    const control = this.startProcess(deployFile.Role.Control, core);
    await control.waitForLog('started');
    await loopbackEnvironment.putRouting(core, builder.document(PATIENCE_MILLISECONDS));
    this.front = this.environment.gateway('front-1');
    setLimits(this.front, this.trial);
    const gateway = this.startProcess(deployFile.Role.Gateway, this.front);
    await gateway.waitForLog('ready');
    this.watch = setInterval(() => this.sample(gateway.id), SAMPLE_MILLISECONDS);
  }

  /** Status of a request that is repeated after a failure, as callers do; 0 if none of a few attempts has got an answer. */
  async statusOfOrdinaryRequest(): Promise<number> {
    let status = 0;
    const { attempts = ATTEMPTS } = this.trial;
    for (let attempt = 0; attempt < attempts && status !== SERVED; attempt += 1) {
      status = await this.send(attempt).catch(() => 0);
      await callerCrowd.pause(status === SERVED ? 0 : RETRY_MILLISECONDS);
    }
    return status;
  }

  /** All findings are reported at once: a process that ends has often exceeded its memory too. */
  assertBounds(status: number): void {
    const { memoryMegabytes, descriptors } = this.trial;
    const gateway = this.processes.at(-1)!;
    this.sample(gateway.id);
    const seen = {
      lives: fs.existsSync(`/proc/${gateway.id}/status`),
      status,
      staysInMemory: this.peakMegabytes < memoryMegabytes,
      staysInDescriptors: this.peakDescriptors < descriptors,
    };
    const figures = `peak ${Math.round(this.peakMegabytes)} MB, ${this.peakDescriptors} descriptors`;
    process.stdout.write(`${figures}; ordinary request: ${status}\n`);
    const expected = {
      lives: true,
      status: SERVED,
      staysInMemory: true,
      staysInDescriptors: true,
    };
    assert.equal(seen, expected, `${figures}; ${JSON.stringify(seen)}`);
  }

  async stop(): Promise<void> {
    clearInterval(this.watch);
    await Promise.all(this.processes.map((process) => process.stop('SIGKILL')));
    await this.environment.stop();
    await this.server.close();
  }

  private startProcess(
    role: deployFile.Role,
    { settingsFile }: loopbackEnvironment.PlatformNode,
  ): platformProcess.PlatformProcess {
    const { root } = this.checkout;
    const command = deployFile.commandOf(role, root);
    const process = platformProcess.PlatformProcess.start(command, root, settingsFile);
    this.processes.push(process);
    return process;
  }

  private sample(id: number): void {
    try {
      const text = fs.readFileSync(`/proc/${id}/status`, 'utf8');
      const kibibytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(text)?.[1] ?? 0);
      const descriptors = fs.readdirSync(`/proc/${id}/fd`).length;
      this.peakMegabytes = Math.max(this.peakMegabytes, kibibytes / KIBIBYTES_PER_MEGABYTE);
      this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
    } catch {
      // The process has ended, which `assertBounds` reports.
    }
  }

  private send(attempt: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const headers = callerCrowd.headersOf(`ordinary-${attempt}`);
      const url = `${this.front.url}/balance/7`;
      const options = { method: 'POST', headers, agent: false, timeout: ANSWER_MILLISECONDS };
      const request = http.request(url, options, (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', reject);
      });
      request.on('timeout', () => request.destroy(new Error('no answer')));
      request.on('error', reject);
      request.end('x'.repeat(this.trial.bodyBytes ?? SMALL_BODY_BYTES));
    });
  }
}

function setLimits(
  { settingsFile }: loopbackEnvironment.PlatformNode,
  { memoryMegabytes, descriptors }: VmLimits,
): void {
  const settings = JSON.parse(fs.readFileSync(settingsFile, 'utf8'));
  const limits = { memory_mb: memoryMegabytes, max_fds: descriptors };
  fs.writeFileSync(settingsFile, JSON.stringify({ ...settings, limits }));
}

const SERVED = 200;
const SMALL_BODY_BYTES = 400;
const ATTEMPTS = 5;
const RETRY_MILLISECONDS = 500;
const ANSWER_MILLISECONDS = 5_000;
const SAMPLE_MILLISECONDS = 25;
const KIBIBYTES_PER_MEGABYTE = 1_000_000 / 1_024;

/** Far above the time in which a backend server of these tests answers. */
const PATIENCE_MILLISECONDS = 20_000;
