import * as http from 'node:http';
import * as net from 'node:net';
import * as daemon from '../../src/daemon';
import * as memory from '../../src/memory';
import * as metrics from '../../src/metrics';
import type * as callerRequestHandler from '../../src/gateway/caller-request-handler';
import * as gatewayModule from '../../src/gateway/gateway-module';
import * as rawCaller from './raw-caller';

/** Answers a request whose body has arrived. */
export type Answer = (request: http.IncomingMessage, response: http.ServerResponse) => void;

/** A listener for callers on loopback with an account of memory, and a handler of the test. */
export class LoopbackListener {
  /** Method, path and size of the body of each request that has run. */
  readonly ran: string[] = [];

  private readonly sockets: net.Socket[] = [];

  private constructor(
    readonly account: memory.MemoryAccount,
    private readonly answer: Answer,
  ) {}

  private listener!: daemon.HttpListener;

  static async start(
    answer: Answer,
    options: {
      readonly limits?: Partial<daemon.ListenerLimits>;
      readonly heldBytes?: number;
      readonly connections?: number;
    } = {},
  ): Promise<LoopbackListener> {
    const started = new LoopbackListener(new memory.MemoryAccount(options.heldBytes), answer);
    const handler = { handle: started.handle.bind(started) };
    started.listener = await daemon.listen(
      gatewayModule.GatewayModule.with(
        handler as unknown as callerRequestHandler.CallerRequestHandler,
      ),
      { host: '127.0.0.1', port: 0 },
      { ...daemon.DEFAULT_LIMITS, ...options.limits },
      new daemon.FailureFilter(() => 0),
      undefined,
      {
        account: started.account,
        meter: new metrics.DisabledMetrics(),
        segments: new memory.SegmentPool(),
        places: new daemon.ConnectionPlaces(options.connections),
        onHead: () => {},
      },
    );
    return started;
  }

  /** @param allowHalfOpen whether the caller goes on writing when the listener has ended the connection */
  connect(allowHalfOpen = false): rawCaller.RawCaller {
    const { port } = this.listener;
    const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen });
    this.sockets.push(socket);
    return new rawCaller.RawCaller(socket);
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await this.listener.close();
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    this.ran.push(`${request.method} ${request.url} ${body.length}`);
    this.answer(request, response);
  }
}
