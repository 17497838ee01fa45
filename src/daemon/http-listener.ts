import * as http from 'node:http';
import type * as net from 'node:net';
import * as nest from '@nestjs/common';
import * as core from '@nestjs/core';
import type * as fastify from 'fastify';
import * as fastifyPlatform from '@nestjs/platform-fastify';
import * as verdict from '../verdict';
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

/**
 * Starts a Nest application on an address. Handlers receive requests of every method, and bodies of every method and content
 * type as buffers. `request.headers` can name another content type and transfer coding than the caller; `request.raw.headers`
 * has the caller's. Rejects when the address is in use.
 *
 * @param prepare adds hooks to the server before it listens
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
): Promise<HttpListener> {
  const adapter = new fastifyPlatform.FastifyAdapter(serverOptions(limits));
  const application = await core.NestFactory.create<fastifyPlatform.NestFastifyApplication>(
    module,
    adapter,
    { bodyParser: false, logger: false, abortOnError: false },
  );
  acceptAnyBody(application);
  // The adapter brings its own copy of Fastify, whose types differ in parts that are not used here.
  prepare(application.getHttpAdapter().getInstance() as unknown as fastify.FastifyInstance);
  application.useGlobalFilters(filter);
  await application.listen(address.port, address.host);
  const { port } = application.getHttpServer().address() as net.AddressInfo;
  return { port, close: () => application.close() };
}

function serverOptions(
  limits: ListenerLimits,
): ConstructorParameters<typeof fastifyPlatform.FastifyAdapter>[0] {
  return {
    bodyLimit: limits.bodyBytes,
    requestTimeout: limits.requestMilliseconds,
    keepAliveTimeout: limits.idleMilliseconds,
    forceCloseConnections: 'idle',
    clientErrorHandler: rejectMalformed,
    http: {
      headersTimeout: limits.headersMilliseconds,
      connectionsCheckingInterval: limits.headersMilliseconds / 4,
      // Detects callers that disappeared without closing their connection.
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEP_ALIVE_MILLISECONDS,
    },
  };
}

function acceptAnyBody(application: fastifyPlatform.NestFastifyApplication): void {
  const server = application.getHttpAdapter().getInstance();
  // Fastify does not read the bodies of GET, HEAD and TRACE requests, and knows no route for some other methods.
  METHODS.forEach((method) =>
    server.addHttpMethod(method, { hasBody: true, overrideExisting: true }),
  );
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
    done(null, body),
  );
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
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
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
    'ERR_HTTP_REQUEST_TIMEOUT',
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
