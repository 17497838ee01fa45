import * as http from 'node:http';
import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as daemonPackage from '../../src/daemon';
import * as decision from '../../src/decision';
import * as emulator from '../../src/emulator';
import * as metrics from '../../src/metrics';
import * as groupBuilder from '../control/group-builder';
import * as routingBuilder from '../support/routing-builder';

/** One answer to a request of the load. */
export interface LoadAnswer {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly isComplete: boolean;
  /** Text of the answer, which depends on the weights. */
  readonly text: string;
}

const SERVICE = routingBuilder.MODEL_SERVICE;

/** A daemon that leads a control group of one replica, with emulated engines that share one weight store. */
export class RollOutBuilder {
  readonly time = new clock.SystemClock();

  readonly store = new emulator.WeightStore(this.time);

  readonly engines: emulator.EmulatedEngine[] = [];

  readonly answers: LoadAnswer[] = [];

  /** Largest observed number of concurrent loads. */
  mostLoads = 0;

  private group!: groupBuilder.TestGroup;

  private daemon!: daemonPackage.Daemon<decision.DecisionState>;

  private isLoading = false;

  constructor(
    /** The configured weights version when the daemon starts; the engines start with v1. */
    private readonly configuredVersion = 'v1',
  ) {}

  async run(engineCount: number, work: () => Promise<void>): Promise<void> {
    const options = { model: SERVICE.model, weightsVersion: 'v1', decodeTokensPerSecond: 2_000 };
    for (let index = 0; index < engineCount; index += 1) {
      const engine = new emulator.EmulatedEngine(options, this.time, this.store);
      await engine.listen();
      this.engines.push(engine);
    }
    this.group = await groupBuilder.TestGroup.start(1);
    await this.group.leaderIndex();
    await this.publish(this.configuredVersion, 0);
    this.daemon = await daemonPackage.Daemon.start(this.ports(), OPTIONS);
    await groupBuilder.until(() => this.daemon.isReady);
    try {
      await work();
    } finally {
      this.isLoading = false;
      await this.daemon.stop();
      await this.group.close();
      await Promise.all(this.engines.map((engine) => engine.crash()));
    }
  }

  async publish(weightsVersion: string, baseRevision: number): Promise<void> {
    const upserts = [routingBuilder.TEAM, { ...SERVICE, weightsVersion }, routingBuilder.INTENT];
    const command: control.PublishCommand = {
      kind: control.CommandKind.Publish,
      publishId: weightsVersion,
      author: 'operator',
      baseRevision,
      upserts,
      removals: [],
    };
    const published = await this.group.nodes[0].propose(command, 10_000);
    if (published.err || published.val.kind !== control.CommandResultKind.PublishAccepted) {
      throw new Error('publish failed');
    }
  }

  haveWeights(weightsVersion: string): boolean {
    return this.engines.every((engine) => engine.report().weightsVersion === weightsVersion);
  }

  /** Sends a few concurrent requests at a time until `stopLoad`, and samples the number of weight loads. */
  async load(callers: number): Promise<void> {
    this.isLoading = true;
    const deadline = this.time.monotonic() + LONGEST_LOAD_MILLISECONDS;
    const isOver = () => !this.isLoading || this.time.monotonic() > deadline;
    const watch = async () => {
      for (; !isOver(); await this.time.sleep(5)) {
        this.mostLoads = Math.max(this.mostLoads, this.store.loadsInProgress);
      }
    };
    const call = async () => {
      for (; !isOver(); await this.time.sleep(10)) {
        this.answers.push(await this.request());
      }
    };
    await Promise.all([watch(), ...Array.from({ length: callers }, call)]);
  }

  stopLoad(): void {
    this.isLoading = false;
  }

  private request(): Promise<LoadAnswer> {
    const sentAt = this.time.monotonic();
    const messages = [{ role: 'user', content: 'Sack 7?' }];
    const body = { model: routingBuilder.INTENT.name, max_tokens: 8, messages };
    const headers = {
      authorization: `Bearer ${routingBuilder.TEAM_CREDENTIAL}`,
      'content-type': 'application/json',
    };
    const address = { host: '127.0.0.1', port: this.daemon.callerPort, agent: false };
    const path = '/v1/chat/completions';
    return new Promise((resolve, reject) => {
      const sent = http.request({ ...address, path, method: 'POST', headers }, async (response) => {
        const parts: Buffer[] = [];
        for await (const part of response) {
          parts.push(part);
        }
        const { statusCode: status = 0, complete: isComplete } = response;
        const text = textOf(Buffer.concat(parts).toString());
        resolve({ sentAt, endedAt: this.time.monotonic(), status, isComplete, text });
      });
      sent.on('error', reject);
      sent.end(JSON.stringify(body));
    });
  }

  private ports(): daemonPackage.DaemonPorts<decision.DecisionState> {
    const startState = decision.initialState({ seed: 1, zone: 'pl-caudan', region: 'port-louis' });
    const machines = this.engines.map((engine, index) => machineOf(`desk-${index}`, engine.port));
    return {
      plane: this.group.nodes[0],
      machineList: { read: async () => new results.Ok(machines) },
      backends: {
        open: ({ id, host, port }) =>
          new backend.HttpModelEngine({ serverId: id, host, port }, this.time),
      },
      core: { startState, update: decision.update, isWaiting: decision.isWaiting },
      hasher: { chain: () => [] },
      history: { recent: () => [] },
      meter: new metrics.DisabledMetrics(),
      time: this.time,
      random: new clock.SeededRandomSource(1),
    };
  }
}

const LONGEST_LOAD_MILLISECONDS = 60_000;

const ADDRESS = { host: '127.0.0.1', port: 0 };

const OPTIONS: daemonPackage.DaemonOptions = {
  zone: 'pl-caudan',
  region: 'port-louis',
  listen: ADDRESS,
  operatorListen: ADDRESS,
  peerAddress: '127.0.0.1:1',
  operatorTokens: ['operator-token-of-the-tests'],
  machineListIntervalMilliseconds: 1_000,
  maximumQueuedRequests: 100,
  limits: daemonPackage.DEFAULT_LIMITS,
  loadBalancerMilliseconds: 50,
  graceMilliseconds: 2_000,
};

function machineOf(id: string, port: number): backend.MachineRecord {
  return {
    id,
    host: '127.0.0.1',
    port,
    zone: 'pl-caudan',
    region: 'port-louis',
    service: SERVICE.name,
    kind: backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
  };
}

/** The generated text, or the whole body of a failure. */
function textOf(body: string): string {
  return JSON.parse(body).choices?.[0]?.message?.content ?? body;
}
