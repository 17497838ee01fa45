import * as http from 'node:http';
import type * as net from 'node:net';
import * as nest from '@nestjs/common';
import * as core from '@nestjs/core';
import type * as fastify from 'fastify';
import * as fastifyPlatform from '@nestjs/platform-fastify';
import * as memory from '../memory';
import * as metrics from '../metrics';
import * as verdict from '../verdict';
import * as bodyIntake from './body-intake';
import * as callerConnections from './caller-connections';
import * as connectionPlaces from './connection-places';
import type * as callerLimits from './caller-limits';
import * as errorBody from './error-body';

/** An HTTP server that accepts connections. */
export interface HttpListener {
  readonly port: number;
  /** Stops listening and closes idle connections; resolves when the running requests have ended. */
  close(): Promise<void>;
}

export type ListenerLimits = Pick<
  callerLimits.CallerLimits,
  'bodyBytes' | 'headersMilliseconds' | 'requestMilliseconds' | 'idleMilliseconds'
>;

/** How a listener keeps its callers within the memory of the process. */
export interface IntakeOptions {
  readonly account: memory.MemoryAccount;
  readonly meter: metrics.Metrics;
  /** Buffers for bodies, shared by the listeners of the process. */
  readonly segments: memory.SegmentPool;
  /** Counts the connections of all listeners of the process. */
  readonly places: connectionPlaces.ConnectionPlaces;
  /** Called when the head of a request has arrived; its body may follow much later. */
  readonly onHead: (request: http.IncomingMessage) => void;
}

/**
 * Starts a Nest application on an address. Handlers receive requests of every method, and bodies of every method and content
 * type as buffers. `request.headers` can name another content type and transfer coding than the caller; `request.raw.headers`
 * has the caller's. Rejects when the address is in use.
 *
 * @param prepare adds hooks to the server before it listens
 * @param intake limits of memory; the connections and bodies of operators and of other daemons need none
 *
 * @example
 * const listener = await listen(callerModule, address, DEFAULT_LIMITS, filter);
 */
export async function listen(
  module: nest.DynamicModule,
  address: { readonly host: string; readonly port: number },
  limits: ListenerLimits,
  filter: nest.ExceptionFilter,
  prepare: (server: fastify.FastifyInstance) => void = () => {},
  intake: IntakeOptions = unlimitedIntake(),
): Promise<HttpListener> {
  const bodies = new bodyIntake.BodyIntake(
    intake.account,
    limits.bodyBytes,
    intake.meter,
    intake.segments,
  );
  const adapter = new fastifyPlatform.FastifyAdapter(serverOptions(limits, intake, bodies));
  const application = await core.NestFactory.create<fastifyPlatform.NestFastifyApplication>(
    module,
    adapter,
    { bodyParser: false, logger: false, abortOnError: false },
  );
  acceptAnyBody(application, bodies);
  // The adapter brings its own copy of Fastify, whose types differ in parts that are not used here.
  prepare(application.getHttpAdapter().getInstance() as unknown as fastify.FastifyInstance);
  application.useGlobalFilters(filter);
  await application.listen(address.port, address.host);
  const { port } = application.getHttpServer().address() as net.AddressInfo;
  return { port, close: () => application.close() };
}

function serverOptions(
  limits: ListenerLimits,
  intake: IntakeOptions,
  bodies: bodyIntake.BodyIntake,
): ConstructorParameters<typeof fastifyPlatform.FastifyAdapter>[0] {
  let connections: callerConnections.CallerConnections;
  return {
    forceCloseConnections: 'idle',
    clientErrorHandler: (error, socket) => {
      if (error.code === 'ECONNRESET' || !socket.writable) {
        socket.destroy();
        return;
      }
      const isTimeout = error.code === REQUEST_TIMEOUT;
      connections.failed(socket, isTimeout, () => rejectMalformed(error, socket));
    },
    serverFactory: (handler) => {
      const { requestMilliseconds } = limits;
      const onEnded = (request: http.IncomingMessage) => bodies.release(request);
      const onRejected = (request: http.IncomingMessage) => bodies.abandon(request);
      connections = new callerConnections.CallerConnections(
        { ...intake, requestMilliseconds, onEnded, onRejected },
        handler as http.RequestListener,
      );
      return createServer(limits, connections);
    },
  };
}

function createServer(
  limits: ListenerLimits,
  connections: callerConnections.CallerConnections,
): http.Server {
  const server = http.createServer({
    requestTimeout: limits.requestMilliseconds,
    keepAliveTimeout: limits.idleMilliseconds,
    headersTimeout: limits.headersMilliseconds,
    connectionsCheckingInterval: limits.headersMilliseconds / 4,
    // Detects callers that disappeared without closing their connection.
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MILLISECONDS,
  });
  server.on('connection', (socket) => connections.accept(socket));
  server.on('request', (request, response) => connections.handle(request, response));
  return server;
}

function acceptAnyBody(
  application: fastifyPlatform.NestFastifyApplication,
  bodies: bodyIntake.BodyIntake,
): void {
  const server = application.getHttpAdapter().getInstance();
  // Fastify does not read the bodies of GET, HEAD and TRACE requests, and knows no route for some other methods.
  METHODS.forEach((method) =>
    server.addHttpMethod(method, { hasBody: true, overrideExisting: true }),
  );
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (_request, payload, done) => bodies.read(payload, done));
  server.addHook('onRequest', (request, _reply, done) => {
    request.headers = parsedHeaders(request.raw);
    done();
  });
}

/** Headers that Fastify is shown in place of the caller's, so that it reads any body and rejects no request. */
function parsedHeaders({ method, headers }: http.IncomingMessage): http.IncomingHttpHeaders {
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  if (coding !== undefined || Number(length ?? 0) > 0) {
    return { 'content-type': ANY_CONTENT_TYPE };
  }
  if (method === 'QUERY') {
    // Fastify answers 400 to QUERY requests without a content type or without a body.
    return { 'content-type': ANY_CONTENT_TYPE, 'transfer-encoding': 'chunked' };
  }
  // Without a content type Fastify calls the handler at once if there is no body.
  return { 'content-type': undefined };
}

/** Answers bytes that are not HTTP and requests that do not arrive in time; no handler runs for these. */
function rejectMalformed(error: NodeJS.ErrnoException, socket: net.Socket): void {
  const { status, failure } = CLIENT_ERRORS.get(error.code ?? '') ?? MALFORMED;
  const body = JSON.stringify(errorBody.errorBody(failure));
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-figline-verdict: ${failure.verdict}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

interface ClientError {
  readonly status: string;
  readonly failure: verdict.RequestFailure;
}

/** Node.js opens tunnels for CONNECT itself and closes them, since nothing listens for them. */
const METHODS = http.METHODS.filter((method) => method !== 'CONNECT');

function unlimitedIntake(): IntakeOptions {
  return {
    account: new memory.MemoryAccount(),
    meter: new metrics.DisabledMetrics(),
    segments: new memory.SegmentPool(),
    places: new connectionPlaces.ConnectionPlaces(),
    onHead: () => {},
  };
}

const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

const ANY_CONTENT_TYPE = 'application/octet-stream';

const TCP_KEEP_ALIVE_MILLISECONDS = 15_000;

const { FailureReason, Verdict } = verdict;

const MALFORMED: ClientError = {
  status: '400 Bad Request',
  failure: verdict.failure(
    FailureReason.BadRequest,
    Verdict.NotRun,
    'The request is not valid HTTP/1.1.',
  ),
};

const CLIENT_ERRORS = new Map<string, ClientError>([
  [
    REQUEST_TIMEOUT,
    {
      status: '408 Request Timeout',
      failure: verdict.failure(
        FailureReason.Timeout,
        Verdict.NotRun,
        'The request did not arrive in time.',
      ),
    },
  ],
  [
    'HPE_HEADER_OVERFLOW',
    {
      status: '431 Request Header Fields Too Large',
      failure: verdict.failure(
        FailureReason.RequestTooLarge,
        Verdict.NotRun,
        'The request headers are too large.',
      ),
    },
  ],
]);
