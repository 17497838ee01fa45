import * as http from 'node:http';
import * as net from 'node:net';
import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as gateway from '../../src/gateway';
import * as metrics from '../../src/metrics';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as routingDocument from '../../platform/routing-document';
import * as serverClient from '../../platform/server-client';
import * as fakeControlState from '../support/fake-control-state';
import * as registerPlane from './register-plane';

export const CREDENTIAL = 'key-of-the-depot';

/** An answer as a caller received it. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly isComplete: boolean;
}

/** A scripted backend server. */
export interface TestServer {
  readonly id: string;
  readonly port: number;
  readonly softwareVersion?: string;
  readonly service?: string;
  listen(): Promise<void>;
  close(): Promise<void>;
}

/** A gateway in this process with scripted backend servers. */
export class GatewayBuilder {
  readonly plane = new registerPlane.RegisterPlane(
    new fakeControlState.FakeControlState(),
    'gateway-1',
  );

  /** Id of the server that loads weights according to the list; absent if none does. */
  loadingServer: string | undefined;

  /** Weights version of all servers according to the list; absent if it names none. */
  weightsVersion: string | undefined = '3';

  meter: metrics.Metrics = new metrics.DisabledMetrics();

  /** Run of each server's process according to the list; absent if it names none. */
  runOf: (server: TestServer) => string | undefined = firstRunOf;

  private daemon!: gateway.GatewayDaemon;

  constructor(
    private readonly servers: readonly TestServer[],
    private readonly content: object = document(),
    private readonly weights: control.Register = control.EMPTY_REGISTER,
    readonly time: clock.Clock = new clock.SystemClock(),
    /** The port at which this gateway finds a server. */
    private readonly portOf: (server: TestServer) => number = ({ port }) => port,
    private readonly changes: Partial<gateway.GatewayOptions> = {},
  ) {}

  /** `host:port` for other gateways. */
  get addressForGateways(): string {
    return this.daemon.addressForGateways ?? '';
  }

  async run(work: (builder: GatewayBuilder) => Promise<void>): Promise<void> {
    await Promise.all(this.servers.map((server) => server.listen()));
    const text = JSON.stringify(this.content);
    this.plane.current = control.putRouting(this.weights, { version: 1, text });
    this.daemon = await gateway.GatewayDaemon.start(this.ports(), {
      ...OPTIONS,
      ...this.changes,
    });
    while (!this.daemon.readiness.isReady) {
      await this.time.sleep(5);
    }
    try {
      await work(this);
    } finally {
      await this.daemon.stop();
      await Promise.all(this.servers.map((server) => server.close()));
    }
  }

  /** Lets the gateway stop, as at SIGTERM; later calls return the same promise. */
  stop(): Promise<void> {
    return this.daemon.stop();
  }

  /** Port for callers, for tests that write on a connection themselves. */
  get callerPort(): number {
    return this.daemon.callerPort;
  }

  /** Sends one request on a new connection. */
  send(
    method: string,
    path: string,
    headers: http.OutgoingHttpHeaders = {},
    body = '',
  ): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const request = http.request(this.requestOptions(method, path, headers), (response) =>
        resolve(readAnswer(response)),
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  /**
   * Sends one request whose body follows once the gateway has read the headers and `between` has ended. Returns the status.
   */
  async sendInParts(
    method: string,
    path: string,
    body: string,
    between: () => void | Promise<void>,
  ): Promise<number | undefined> {
    const headers = { 'content-length': String(Buffer.byteLength(body)), expect: '100-continue' };
    const request = http.request(this.requestOptions(method, path, headers));
    const haveHeadersArrived = new Promise((resolve, reject) => {
      request.on('continue', () => resolve(undefined)).on('error', reject);
    });
    const answered = new Promise<http.IncomingMessage>((resolve, reject) => {
      request.on('response', resolve).on('error', reject);
    });
    request.flushHeaders();
    await haveHeadersArrived;
    await between();
    request.end(body);
    return (await answered).statusCode;
  }

  /** Sends one request; `read` consumes its response. */
  receive<Outcome>(
    path: string,
    read: (response: http.IncomingMessage) => Promise<Outcome>,
    headers: http.OutgoingHttpHeaders = {},
  ): Promise<Outcome> {
    return new Promise((resolve, reject) => {
      const request = http.request(this.requestOptions('POST', path, headers), (response) =>
        read(response).then(resolve, reject),
      );
      request.on('error', reject);
      request.end();
    });
  }

  /** Sends a request and closes its connection after the given time. */
  async abandon(method: string, path: string, afterMilliseconds: number): Promise<void> {
    const request = http.request(this.requestOptions(method, path, {}));
    request.on('error', () => {});
    request.end();
    await this.time.sleep(afterMilliseconds);
    request.destroy();
  }

  /** Sends a request and closes the connection at once, before the gateway can have read anything. */
  async sendAndLeave(path: string): Promise<void> {
    const { host, port, headers = {} } = this.requestOptions('GET', path, {});
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    const socket = net.connect({ host: host!, port: Number(port) });
    await new Promise<void>((resolve) => {
      socket.once('connect', resolve);
    });
    socket.end(`GET ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
    socket.destroySoon();
  }

  private requestOptions(
    method: string,
    path: string,
    headers: http.OutgoingHttpHeaders,
  ): http.RequestOptions {
    return {
      host: '127.0.0.1',
      port: this.daemon.callerPort,
      method,
      path,
      agent: false,
      headers: {
        host: 'desk.example',
        authorization: `Token ${CREDENTIAL}`,
        'x-figline-request-id': 'request-1',
        'x-figline-deadline-ms': '2000',
        ...headers,
      },
    };
  }

  private machines(): backend.MachineRecord[] {
    return this.servers.map((server) => ({
      ...machineOf(server),
      ...(this.weightsVersion === undefined ? {} : { weightsVersion: this.weightsVersion }),
      port: this.portOf(server),
      incarnation: this.runOf(server),
      ...(server.id === this.loadingServer ? { loading: true as const } : {}),
    }));
  }

  private ports(): gateway.GatewayPorts {
    const headerCodec = new platformHeaderCodec.PlatformHeaderCodec();
    const issuer = {
      holder: 'test',
      modelOf: (service: string) => (service === PLAIN_SERVICE ? undefined : 'desk-model'),
      healthPathOf: () => '/health',
    };
    return {
      plane: this.plane,
      list: { read: async () => new results.Ok(this.machines()) },
      backends: {
        open: (machine, run) =>
          new serverClient.PlatformServer(machine, issuer, headerCodec, this.time, undefined, run),
      },
      headerCodec,
      decode: routingDocument.decodeRouting,
      meter: this.meter,
      time: this.time,
      random: new clock.SeededRandomSource(1),
    };
  }
}

/** A service of servers that run no model. */
export const PLAIN_SERVICE = 'ledger';

export const WEIGHTS_GRACE_MILLISECONDS = 6_000;

/** Age of a desired version from which requests must not begin on older weights. */
export const WEIGHTS_LIMIT_MILLISECONDS = 8_000;

const OPTIONS: gateway.GatewayOptions = {
  zone: 'pl-caudan',
  region: 'port-louis',
  listen: { host: '127.0.0.1', port: 0 },
  limits: {
    bodyBytes: 100_000,
    headersMilliseconds: 1_000,
    requestMilliseconds: 2_000,
    idleMilliseconds: 1_000,
  },
  stop: { loadBalancerMilliseconds: 10, graceMilliseconds: 500 },
  engineProperties: {
    prefillTokensPerSecond: 40_000,
    decodeTokensPerSecond: 100,
    checksFencing: true,
  },
  weightsGraceMilliseconds: WEIGHTS_GRACE_MILLISECONDS,
  weightsStartMilliseconds: 0.9 * WEIGHTS_LIMIT_MILLISECONDS,
  retryLimits: { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 },
  isFirstStart: true,
  maximumRequests: 100,
  copyAgeLimitMilliseconds: 2_500,
  vm: {},
};

/** A routing document with a resumable stream, a charge that may run once, and a look-up. */
export function document(timeoutMilliseconds = 2_000, slots = 8): object {
  const base = {
    host: 'desk.example',
    timeout_ms: timeoutMilliseconds,
    max_attempts: 2,
    service: 'desk',
  };
  const engine = { slots, kv_capacity_tokens: 80_000, kv_token_bytes: 1, link_mbps: 1 };
  return {
    version: 1,
    routes: [
      { ...base, name: 'reply', path_prefix: '/reply/', kind: 'stream', resumable: true },
      { ...base, name: 'report', path_prefix: '/report/', kind: 'stream', max_attempts: 1 },
      { ...base, name: 'charge', path_prefix: '/charge/', kind: 'unsafe', max_attempts: 1 },
      { ...base, name: 'balance', path_prefix: '/balance/', kind: 'safe' },
    ],
    services: [{ name: 'desk', engine: { ...engine, models: [{ name: 'desk-model' }] } }],
    tenants: [{ name: 'depot', api_keys: [CREDENTIAL], isolated: true }],
  };
}

function machineOf(server: TestServer): Omit<backend.MachineRecord, 'port' | 'incarnation'> {
  return {
    id: server.id,
    host: '127.0.0.1',
    zone: 'pl-caudan',
    region: 'port-louis',
    service: server.service ?? 'desk',
    kind:
      server.service === PLAIN_SERVICE
        ? backend.BackendKind.PlainService
        : backend.BackendKind.ModelEngine,
    phase: backend.MachinePhase.Live,
    softwareVersion: server.softwareVersion,
  };
}

function firstRunOf({ id }: TestServer): string {
  return `${id}@1`;
}

async function readAnswer(response: http.IncomingMessage): Promise<Answer> {
  const chunks: Buffer[] = [];
  let isComplete = true;
  try {
    for await (const chunk of response) {
      chunks.push(chunk);
    }
  } catch {
    isComplete = false;
  }
  const text = Buffer.concat(chunks).toString();
  return { status: response.statusCode ?? 0, headers: response.headers, text, isComplete };
}
