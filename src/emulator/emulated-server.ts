import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as net from 'node:net';
import * as backend from '../backend';
import * as clock from '../clock';
import * as fault from './fault';
import * as faultPlan from './fault-plan';
import * as receivedRequest from './received-request';
import * as wholeAnswer from './whole-answer';

/** Counters of an emulated server; tests compare them with the verdicts of the router. */
export interface ServerReport {
  readonly incarnation: string;
  readonly leaving: boolean;
  /** Numbers of requests that were read completely, by request id, without management calls. */
  readonly wholeRequests: Readonly<Record<string, number>>;
  readonly acceptedConnections: number;
  readonly openConnections: number;
}

/**
 * Base class of the emulated backend servers: one HTTP listener on a fixed port, injected faults at each step
 * of a request, crash, freeze and graceful stop. Subclasses answer the requests.
 */
export abstract class EmulatedServer {
  readonly faults = new faultPlan.FaultPlan();

  protected leaving = false;

  protected requestsInProgress = 0;

  private currentIncarnation = crypto.randomUUID();

  private server: http.Server | undefined;

  private readonly sockets = new Set<net.Socket>();

  private readonly wholeRequests = new Map<string, number>();

  private acceptedConnections = 0;

  private frozen = false;

  private onThaw: (() => void)[] = [];

  private listeningPort = 0;

  constructor(
    protected readonly time: clock.Clock,
    private readonly host = '127.0.0.1',
  ) {}

  /** The port after `listen`; does not change after a crash. */
  get port(): number {
    return this.listeningPort;
  }

  get incarnation(): string {
    return this.currentIncarnation;
  }

  /** Starts to accept connections; port 0 lets the operating system choose one. */
  async listen(port = 0): Promise<void> {
    const options = { keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, maxHeaderSize: MAXIMUM_HEADERS };
    const server = http.createServer(options, (request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => this.accept(socket));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this.host, resolve);
    });
    this.server = server;
    this.listeningPort = (server.address() as net.AddressInfo).port;
  }

  /** Refuses new requests from now on; requests in progress continue. */
  leave(): void {
    this.leaving = true;
  }

  /** Resets every connection and drops all state, like a killed process. */
  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    const closed = new Promise<void>((resolve) => {
      server?.close(() => resolve());
      if (server === undefined) {
        resolve();
      }
    });
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.dropState();
    await closed;
  }

  /** Listens again on the same port with a new incarnation and empty state. */
  async restart(): Promise<void> {
    await this.crash();
    this.currentIncarnation = crypto.randomUUID();
    this.leaving = false;
    await this.listen(this.listeningPort);
  }

  /** Stops handling and sending until `thaw`; the operating system still accepts connections. */
  freeze(): void {
    this.frozen = true;
    this.sockets.forEach((socket) => socket.cork());
  }

  thaw(): void {
    this.frozen = false;
    this.sockets.forEach((socket) => socket.uncork());
    this.onThaw.splice(0).forEach((resume) => resume());
  }

  /** Refuses new requests, waits at most `graceMilliseconds` for the requests in progress, and closes. */
  async stop(graceMilliseconds = 0): Promise<void> {
    this.leave();
    const deadline = this.time.monotonic() + graceMilliseconds;
    while (this.requestsInProgress > 0 && this.time.monotonic() < deadline) {
      await this.time.sleep(STOP_POLL_MILLISECONDS);
    }
    await this.crash();
  }

  /** Carries out a command of the control endpoint; `false` when there is no such command. */
  adjust(name: string, body: unknown): boolean {
    switch (name) {
      case 'fault':
        this.faults.add(fault.faultSchema.parse(body));
        return true;
      case 'clear-faults':
        this.faults.clear();
        return true;
      case 'leave':
        this.leave();
        return true;
      case 'freeze':
        this.freeze();
        return true;
      case 'thaw':
        this.thaw();
        return true;
      default:
        return false;
    }
  }

  report(): ServerReport {
    return {
      incarnation: this.currentIncarnation,
      leaving: this.leaving,
      wholeRequests: Object.fromEntries(this.wholeRequests),
      acceptedConnections: this.acceptedConnections,
      openConnections: this.sockets.size,
    };
  }

  /** How often a request with this id was read completely. */
  wholeRequestCount(requestId: string): number {
    return this.wholeRequests.get(requestId) ?? 0;
  }

  /** Load of a server without batching; an engine reports its own. */
  protected loadReport(): backend.LoadReport {
    return {
      incarnation: this.incarnation,
      weightsVersion: '',
      ageMilliseconds: 0,
      runningRequests: this.requestsInProgress,
      queuedRequests: 0,
      queuedPrefillTokens: 0,
    };
  }

  /** Empty for a server without weights. */
  // eslint-disable-next-line @typescript-eslint/class-methods-use-this
  protected weightsVersion(): string {
    return '';
  }

  /** Answers a request that was read completely, through `response` or with the returned answer. */
  protected abstract handle(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
  ): Promise<wholeAnswer.WholeAnswer | undefined>;

  /** Drops the state that a crash loses. */
  protected dropState(): void {
    this.requestsInProgress = 0;
  }

  /** The id to echo, which a fault may replace with another one. */
  protected echoedId(request: receivedRequest.ReceivedRequest): string {
    const crossed = this.faults.takeNext(request.path, fault.FaultKind.CrossedId);
    return crossed === undefined ? request.requestId : `another-${request.requestId}`;
  }

  private accept(socket: net.Socket): void {
    this.acceptedConnections += 1;
    if (this.faults.takeNext('', fault.FaultKind.ResetOnAccept) !== undefined) {
      socket.resetAndDestroy();
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (this.frozen) {
      socket.cork();
    }
  }

  private async receive(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.frozen) {
      await new Promise<void>((resolve) => {
        this.onThaw.push(resolve);
      });
    }
    const url = new URL(incoming.url ?? '/', 'http://server');
    if (this.faults.takeNext(url.pathname, fault.FaultKind.ResetMidBody) !== undefined) {
      incoming.once('data', () => incoming.socket.resetAndDestroy());
      return;
    }
    const body = await readBody(incoming);
    const request = {
      requestId: String(incoming.headers[backend.HeaderName.RequestId] ?? ''),
      method: incoming.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body,
    };
    this.requestsInProgress += 1;
    response.once('close', () => {
      this.requestsInProgress = Math.max(0, this.requestsInProgress - 1);
    });
    await this.answer(request, response);
  }

  private async answer(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const management = this.managementAnswer(request);
    if (management !== undefined) {
      wholeAnswer.send(response, request.requestId, management);
      return;
    }
    if (!request.path.startsWith('/backend/')) {
      const count = this.wholeRequestCount(request.requestId) + 1;
      this.wholeRequests.set(request.requestId, count);
    }
    const refused = this.refusalFor(request);
    if (refused !== undefined) {
      wholeAnswer.send(response, request.requestId, refused);
      return;
    }
    await this.execute(request, response);
  }

  protected probeReport(): backend.ProbeReport {
    const { incarnation, leaving } = this;
    return { incarnation, leaving, weightsVersion: this.weightsVersion() };
  }

  private managementAnswer(
    request: receivedRequest.ReceivedRequest,
  ): wholeAnswer.WholeAnswer | undefined {
    if (request.path === '/backend/probe') {
      return { status: 200, body: this.probeReport() };
    }
    return request.path === '/backend/load' ? { status: 200, body: this.loadReport() } : undefined;
  }

  private refusalFor(
    request: receivedRequest.ReceivedRequest,
  ): wholeAnswer.WholeAnswer | undefined {
    if (this.leaving && !request.path.startsWith('/backend/')) {
      return wholeAnswer.refusal(503, 'leaving', true);
    }
    return this.faults.takeNext(request.path, fault.FaultKind.Refuse) === undefined
      ? undefined
      : wholeAnswer.refusal(503, 'refused');
  }

  private async execute(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.faults.takeNext(request.path, fault.FaultKind.Crash) !== undefined) {
      await this.crash();
      return;
    }
    const late = this.faults.takeNext(request.path, fault.FaultKind.LateAnswer);
    if (late !== undefined) {
      await this.time.sleep(late.delayMilliseconds);
    }
    const answer = await this.handle(request, response);
    if (answer !== undefined) {
      this.deliver(request, response, answer);
    }
  }

  private deliver(
    request: receivedRequest.ReceivedRequest,
    response: http.ServerResponse,
    answer: wholeAnswer.WholeAnswer,
  ): void {
    const injected = this.faults.takeNext(request.path, ...ANSWER_FAULTS);
    const { socket } = response;
    switch (injected?.kind) {
      case fault.FaultKind.ResetAfterBody:
        socket?.resetAndDestroy();
        break;
      case fault.FaultKind.NoAnswer:
        break;
      case fault.FaultKind.ResetMidAnswer:
        sendHalf(response, request.requestId, answer);
        break;
      case fault.FaultKind.CutRefusal:
        sendHalf(response, request.requestId, wholeAnswer.refusal(503, 'refused'));
        break;
      case fault.FaultKind.CutAnswer:
        sendCut(response, request.requestId, answer);
        break;
      case fault.FaultKind.DuplicateAnswer:
        response.once('finish', () =>
          socket?.write(wholeAnswer.rawBytes(request.requestId, answer)),
        );
        wholeAnswer.send(response, request.requestId, answer);
        break;
      default:
        wholeAnswer.send(response, this.echoedId(request), answer);
    }
  }
}

/** Longer than the 15 s that docs/BACKENDS.md requires of a backend server. */
const KEEP_ALIVE_MILLISECONDS = 30_000;
const MAXIMUM_HEADERS = 32 * 1_024;
const STOP_POLL_MILLISECONDS = 5;

const ANSWER_FAULTS = [
  fault.FaultKind.ResetAfterBody,
  fault.FaultKind.NoAnswer,
  fault.FaultKind.ResetMidAnswer,
  fault.FaultKind.CutRefusal,
  fault.FaultKind.CutAnswer,
  fault.FaultKind.DuplicateAnswer,
];

async function readBody(incoming: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function sendHalf(
  response: http.ServerResponse,
  requestId: string,
  answer: wholeAnswer.WholeAnswer,
): void {
  const { headers, body } = wholeAnswer.encode(requestId, answer);
  response.writeHead(answer.status, headers);
  response.write(body.subarray(0, body.length / 2), () => response.socket?.resetAndDestroy());
}

function sendCut(
  response: http.ServerResponse,
  requestId: string,
  answer: wholeAnswer.WholeAnswer,
): void {
  const { headers, body } = wholeAnswer.encode(requestId, answer);
  const { 'content-length': length, ...chunked } = headers;
  response.writeHead(answer.status, { ...chunked, connection: 'close' });
  response.write(body.subarray(0, Number(length) / 2), () => response.socket?.end());
}
