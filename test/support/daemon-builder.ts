import * as http from 'node:http';
import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as daemonPackage from '../../src/daemon';
import * as decision from '../../src/decision';
import * as metrics from '../../src/metrics';
import * as routing from '../../src/routing';
import * as fakeControlPlane from './fake-control-plane';
import * as fakeControlState from './fake-control-state';
import * as fakeEngine from './fake-engine';
import * as fakePlainService from './fake-plain-service';
import * as routingBuilder from './routing-builder';

export const OPERATOR_TOKEN = 'operator-token-of-the-tests';

/** An HTTP answer that a caller received. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** False when the connection broke before the end of the body. */
  readonly isComplete: boolean;
}

/** A daemon in this process with fake backend servers, one engine and one plain service. */
export class DaemonBuilder {
  readonly control = new fakeControlState.FakeControlState();

  readonly plane = new fakeControlPlane.FakeControlPlane(this.control, 'daemon-1');

  readonly service = new fakePlainService.FakePlainService();

  readonly engine: fakeEngine.FakeEngine;

  limits = { ...daemonPackage.DEFAULT_LIMITS, bodyBytes: 4_096, commentMilliseconds: 50 };

  graceMilliseconds = 2_000;

  private daemon!: daemonPackage.Daemon<decision.DecisionState>;

  constructor(...behaviours: fakeEngine.EngineBehaviour[]) {
    const machine = machineOf('desk-1', 'inspection-desk', backend.BackendKind.ModelEngine);
    this.engine = new fakeEngine.FakeEngine(machine, behaviours);
  }

  get running(): daemonPackage.Daemon<decision.DecisionState> {
    return this.daemon;
  }

  /** Runs `work` with a ready daemon and stops the daemon afterwards. */
  async run(work: () => Promise<void>): Promise<void> {
    this.control.publish(...routingBuilder.DOCUMENTS);
    this.daemon = await daemonPackage.Daemon.start(this.ports(), this.options());
    while (!this.daemon.isReady) {
      await new Promise(setImmediate);
    }
    try {
      await work();
    } finally {
      await this.daemon.stop();
    }
  }

  /** Sends one request on a new connection. */
  request(
    method: string,
    path: string,
    body = '',
    headers: http.OutgoingHttpHeaders = {},
    port = this.daemon.callerPort,
  ): Promise<CallerAnswer> {
    const authorization = `Bearer ${routingBuilder.TEAM_CREDENTIAL}`;
    return new Promise((resolve, reject) => {
      const sent = http.request(
        {
          host: '127.0.0.1',
          port,
          method,
          path,
          agent: false,
          headers: { authorization, ...headers },
        },
        (response) => resolve(readAnswer(response)),
      );
      sent.on('error', reject);
      sent.end(body);
    });
  }

  chat(stream: boolean): Promise<CallerAnswer> {
    const messages = [{ role: 'user', content: 'Sack 7?' }];
    const body = JSON.stringify({ model: routingBuilder.INTENT.name, stream, messages });
    return this.request('POST', '/v1/chat/completions', body);
  }

  private options(): daemonPackage.DaemonOptions {
    const address = { host: '127.0.0.1', port: 0 };
    return {
      zone: 'pl-caudan',
      region: 'port-louis',
      peerAddress: '127.0.0.1:1',
      listen: address,
      operatorListen: address,
      operatorTokens: [OPERATOR_TOKEN],
      machineListIntervalMilliseconds: 1_000,
      maximumQueuedRequests: 100,
      limits: this.limits,
      loadBalancerMilliseconds: 50,
      graceMilliseconds: this.graceMilliseconds,
    };
  }

  private ports(): daemonPackage.DaemonPorts<decision.DecisionState> {
    const startState = decision.initialState({ seed: 1, zone: 'pl-caudan', region: 'port-louis' });
    const ledger = machineOf('ledger-1', 'sack-ledger', backend.BackendKind.PlainService);
    return {
      plane: this.plane,
      machineList: { read: async () => new results.Ok([this.engine.machine, ledger]) },
      backends: this.backends(),
      core: { startState, update: decision.update, isWaiting: decision.isWaiting },
      hasher: { chain: () => [] },
      history: { recent: () => [] },
      meter: new metrics.DisabledMetrics(),
      time: new clock.SystemClock(),
      random: new clock.SeededRandomSource(1),
    };
  }

  private backends(): routing.BackendFactory {
    return {
      open: ({ kind }) => (kind === backend.BackendKind.PlainService ? this.service : this.engine),
    };
  }
}

function machineOf(id: string, service: string, kind: backend.BackendKind): backend.MachineRecord {
  const phase = backend.MachinePhase.Live;
  const location = { host: '127.0.0.1', port: 1, zone: 'pl-caudan', region: 'port-louis' };
  return { id, ...location, service, kind, phase };
}

async function readAnswer(response: http.IncomingMessage): Promise<CallerAnswer> {
  const parts: Buffer[] = [];
  try {
    for await (const part of response) {
      parts.push(part);
    }
  } catch {
    // The connection broke; `isComplete` is false then.
  }
  return {
    status: response.statusCode ?? 0,
    headers: response.headers,
    text: Buffer.concat(parts).toString(),
    isComplete: response.complete,
  };
}
