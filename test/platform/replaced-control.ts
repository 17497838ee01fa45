import * as http from 'node:http';
import * as deployFile from '../../tools/local/deploy-file';
import * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as platformProcess from '../../tools/local/platform-process';
import type * as builtCheckout from './built-checkout';
import type * as fakeBackendServer from './fake-backend-server';
import * as builder from './gateway-builder';

/** A started process with its addresses. */
export interface StartedNode {
  readonly node: loopbackEnvironment.PlatformNode;
  readonly process: platformProcess.PlatformProcess;
}

/** Status and headers of an answer. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** Three control daemons, which a test replaces, and some gateways, as real processes. */
export class ReplacedControlSite {
  gateways: StartedNode[] = [];

  /** The control daemons that run. */
  control: StartedNode[] = [];

  readonly addedPath = '/added/1';

  private readonly environment = new loopbackEnvironment.LoopbackEnvironment(CONTROL_DAEMONS);

  private readonly started: StartedNode[] = [];

  private version = 1;

  constructor(private readonly checkout: builtCheckout.BuiltCheckout) {}

  start(server: fakeBackendServer.FakeBackendServer, gateways: number): Promise<void> {
    const listed = {
      id: server.id,
      service: 'desk',
      addr: `127.0.0.1:${server.port}`,
      models: [{ name: 'desk-model', version: 3 }],
    };
    return this.startWith([listed], builder.document(PATIENCE_MILLISECONDS), gateways);
  }

  /** Starts all processes; resolves once the gateways are ready. */
  async startWith(
    servers: readonly loopbackEnvironment.ListedServer[],
    document: object,
    gateways: number,
  ): Promise<void> {
    await this.environment.start();
    this.listServers(servers);
    const nodes = Array.from({ length: CONTROL_DAEMONS }, (_, index) =>
      this.environment.controlDaemon(`core-${index + 1}`),
    );
    this.control = nodes.map((node) => this.startNode(deployFile.Role.Control, node));
    await Promise.all(this.control.map(({ process }) => process.waitForLog('started')));
    await this.publish(document);
    this.gateways = Array.from({ length: gateways }, (_, index) =>
      this.startNode(deployFile.Role.Gateway, this.environment.gateway(`front-${index + 1}`)),
    );
    await Promise.all(this.gateways.map(({ process }) => process.waitForLog('ready')));
  }

  /** Replaces the simulated list. */
  listServers(servers: readonly loopbackEnvironment.ListedServer[]): void {
    this.environment.listedServers = servers;
  }

  /** The lines that all processes logged about a request, the ended ones included. */
  logOf(requestId: string): readonly string[] {
    return this.started.flatMap(({ node, process }) =>
      process.log
        .filter((line) => line.requestId === requestId)
        .map((line) => `${node.name} ${JSON.stringify(line)}`),
    );
  }

  /** The lines that all processes logged so far, the ended ones included. */
  logLines(): readonly platformProcess.LogLine[] {
    return this.started.flatMap(({ process }) => process.log);
  }

  async stop(): Promise<void> {
    await Promise.all(this.started.map(({ process }) => process.stop('SIGKILL')));
    await this.environment.stop();
  }

  /** Replaces all control daemons, one after the other, by empty ones at other addresses. */
  async replaceAllControlDaemons(): Promise<void> {
    for (let count = 0; count < CONTROL_DAEMONS; count += 1) {
      await this.replaceOldestControlDaemon();
    }
  }

  async replaceOldestControlDaemon(): Promise<StartedNode> {
    const [oldest, ...others] = this.control;
    await oldest.process.stop('SIGKILL');
    const added = await this.addControlDaemon();
    this.control = [...others, added];
    await until(() => this.isVoter(added));
    return added;
  }

  private async addControlDaemon(): Promise<StartedNode> {
    const node = this.environment.controlDaemon(`core-${this.started.length + 1}`);
    loopbackEnvironment.markDeployed(node);
    loopbackEnvironment.setSeeds(
      node,
      this.control.map((running) => running.node),
    );
    const added = this.startNode(deployFile.Role.Control, node);
    await added.process.waitForLog('started');
    return added;
  }

  async killAllControlDaemons(): Promise<void> {
    await Promise.all(this.control.map(({ process }) => process.stop('SIGKILL')));
  }

  /** Activates a routing document with one more route. */
  async addRoute(): Promise<void> {
    const document = builder.document(PATIENCE_MILLISECONDS) as { readonly routes: object[] };
    const route = { ...document.routes[3], name: 'added', path_prefix: '/added/' };
    this.version += 1;
    await this.publish({
      ...document,
      version: this.version,
      routes: [...document.routes, route],
    });
  }

  /** Replaces a control daemon that does not answer while the others run. */
  async replaceFirstWithoutStoppingIt(): Promise<StartedNode> {
    const [first, ...others] = this.control;
    const added = await this.addControlDaemon();
    this.control = [...others, added];
    await until(() => this.isVoter(added));
    return first;
  }

  /** Starts a gateway whose settings name these control daemons. */
  startGateway(name: string, seeds: readonly StartedNode[]): StartedNode {
    const node = this.environment.gateway(name);
    loopbackEnvironment.setSeeds(
      node,
      seeds.map((seed) => seed.node),
    );
    return this.startNode(deployFile.Role.Gateway, node);
  }

  /** Ends a gateway and starts it again after a pause, with the seeds of that moment. */
  async restartGateway(
    gateway: StartedNode,
    signal: NodeJS.Signals,
    milliseconds: number,
  ): Promise<void> {
    await gateway.process.stop(signal);
    await pause(milliseconds);
    this.changeSeeds(gateway);
    const restarted = this.startNode(deployFile.Role.Gateway, gateway.node);
    this.gateways = this.gateways.map((other) => (other === gateway ? restarted : other));
  }

  /** Kills a control daemon and starts it again after a pause, with its disk. */
  async restartControl(control: StartedNode, milliseconds: number): Promise<void> {
    await control.process.stop('SIGKILL');
    await pause(milliseconds);
    loopbackEnvironment.markDeployed(control.node);
    const restarted = this.startNode(deployFile.Role.Control, control.node);
    this.control = this.control.map((other) => (other === control ? restarted : other));
    await restarted.process.waitForLog('started');
  }

  /** Rewrites the seeds in the settings of a running process. */
  changeSeeds({ node }: StartedNode): void {
    loopbackEnvironment.setSeeds(
      node,
      this.control.map((running) => running.node),
    );
  }

  /** A leader that has begun to add a voter takes the change with it if it is killed before that is committed. */
  private isVoter({ node }: StartedNode): boolean {
    const address = new URL(node.url).hostname;
    return this.control.some(({ process }) =>
      process.log.some(
        ({ message, detail }) =>
          message === 'change of voters is committed' && String(detail).includes(`${address}:`),
      ),
    );
  }

  private publish(document: object): Promise<void> {
    return loopbackEnvironment.putRouting(this.control.at(-1)!.node, document);
  }

  private startNode(role: deployFile.Role, node: loopbackEnvironment.PlatformNode): StartedNode {
    const { root } = this.checkout;
    const command = deployFile.commandOf(role, root);
    const process = platformProcess.PlatformProcess.start(command, root, node.settingsFile);
    const started = { node, process };
    this.started.push(started);
    return started;
  }
}

/** Runs a test with a site of its own, which is always stopped. */
export async function run(
  checkout: builtCheckout.BuiltCheckout,
  server: fakeBackendServer.FakeBackendServer,
  work: (site: ReplacedControlSite) => Promise<void>,
): Promise<void> {
  const site = new ReplacedControlSite(checkout);
  try {
    await site.start(server, GATEWAYS);
    await work(site);
  } finally {
    await site.stop();
  }
}

export function send(
  { node }: StartedNode,
  path: string,
  headers: http.OutgoingHttpHeaders = {},
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const options = {
      agent: false,
      timeout: PATIENCE_MILLISECONDS,
      headers: {
        host: 'desk.example',
        authorization: `Token ${builder.CREDENTIAL}`,
        'x-figline-request-id': `request-${Math.random()}`,
        'x-figline-deadline-ms': PATIENCE_MILLISECONDS,
        ...headers,
      },
    };
    const request = http.get(`${node.url}${path}`, options, (response) => {
      response.resume();
      response.on('end', () =>
        resolve({ status: response.statusCode ?? 0, headers: response.headers }),
      );
    });
    request.on('error', reject);
  });
}

async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + CHANGE_LIMIT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > end) {
      throw new Error('the replaced control daemon did not become a voter');
    }
    await pause(POLL_MILLISECONDS);
  }
}

/** Sends requests until one is answered with a status, for a limited time; returns all statuses. */
export async function pollUntil(
  to: StartedNode,
  path: string,
  status: number,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  const end = performance.now() + POLL_LIMIT_MILLISECONDS;
  while (statuses.at(-1) !== status && performance.now() < end) {
    await pause(POLL_MILLISECONDS);
    const id = `poll-${Math.random()}`;
    // A process that has just been started does not listen yet.
    statuses.push(await statusOf(to, path, id, PATIENCE_MILLISECONDS));
  }
  return statuses;
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Activates a document with the added routes 1 to `count`; returns the status, or 0 without an answer. */
export function publishRoutes(to: StartedNode, count: number): Promise<number> {
  const document = builder.document(PATIENCE_MILLISECONDS) as { readonly routes: object[] };
  const added = Array.from({ length: count }, (_, index) => ({
    ...document.routes[3],
    name: `added-${index + 1}`,
    path_prefix: pathOf(index + 1),
  }));
  const routes = [...document.routes, ...added];
  return publishDocument(to, { ...document, version: FIRST_VERSION + count, routes });
}

/** Sends a routing document once; returns the status, or 0 without an answer. */
export function publishDocument({ node }: StartedNode, document: object): Promise<number> {
  return statusOfFetch(`${node.url}/-/config`, { method: 'PUT', body: JSON.stringify(document) });
}

/** Names new weights once; returns the status, or 0 without an answer. */
export function putVersion({ node }: StartedNode, model: string, version: number): Promise<number> {
  const body = JSON.stringify({ model, version });
  return statusOfFetch(`${node.url}/-/version-put`, { method: 'POST', body });
}

/** The number of added routes in the document that a control daemon returns, if it returns one. */
export async function readVersion({ node }: StartedNode): Promise<number | undefined> {
  try {
    const response = await fetch(`${node.url}/-/config`, {
      signal: AbortSignal.timeout(PATIENCE_MILLISECONDS),
    });
    if (!response.ok) {
      return undefined;
    }
    const { version } = (await response.json()) as { readonly version: number };
    return version - FIRST_VERSION;
  } catch {
    return undefined;
  }
}

/** Sends one request on a new connection; returns the status, or 0 without an answer in time. */
export async function statusOf(
  to: StartedNode,
  path: string,
  id: string,
  milliseconds: number,
): Promise<number> {
  const headers = { 'x-figline-request-id': id, 'x-figline-deadline-ms': milliseconds };
  const answer = send(to, path, headers).catch(() => undefined);
  const late = pause(milliseconds).then(() => undefined);
  return (await Promise.race([answer, late]))?.status ?? 0;
}

/** Path of an added route. */
export function pathOf(route: number): string {
  return `/added-${route}/`;
}

async function statusOfFetch(url: string, options: RequestInit): Promise<number> {
  try {
    const signal = AbortSignal.timeout(PUBLISH_LIMIT_MILLISECONDS);
    return (await fetch(url, { ...options, signal })).status;
  } catch {
    return 0;
  }
}

/** Version of the document without added routes. */
const FIRST_VERSION = 1;
const PUBLISH_LIMIT_MILLISECONDS = 1_500;
const CONTROL_DAEMONS = 3;
const GATEWAYS = 3;
const PATIENCE_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 50;
/** The users saw no answer but 404 for more than 35 s. */
const POLL_LIMIT_MILLISECONDS = 20_000;
const CHANGE_LIMIT_MILLISECONDS = 30_000;
