import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import type * as membership from '../../src/membership';
import * as metrics from '../../src/metrics';
import * as routing from '../../src/routing';
import type * as verdict from '../../src/verdict';
import * as bufferBudget from '../../src/gateway/buffer-budget';
import type * as relayCall from '../../src/gateway/relay-call';
import * as relayExecution from '../../src/gateway/relay-execution';
import type * as relayContext from '../../src/gateway/relay-context';
import type * as relayReply from '../../src/gateway/relay-reply';
import * as builder from '../decision/builder';
import * as hangingServer from './hanging-server';

/** A gateway's part behind the admission, with two servers that never answer; the clock stands between two milliseconds. */
export class RelayBuilder {
  readonly time = new clock.ManualClock(0.4);

  /** Requests that reached a server. */
  readonly requests: backend.RelayRequest[] = [];

  /** Reservations that were given back. */
  readonly released: string[] = [];

  readonly failures: verdict.RequestFailure[] = [];

  /** Servers that are eligible for new requests. */
  servers: readonly membership.EligibleServer[] = builder.listServers(2);

  readonly task: routing.DecisionTask;

  private readonly pool: routing.BackendPool;

  constructor() {
    this.pool = new routing.BackendPool({ open: () => new hangingServer.HangingServer(this) });
    this.pool.update(builder.listServers(2));
    const core = {
      startState: builder.createDriver(2).state as unknown,
      update: decision.update,
      isWaiting: decision.isWaiting,
    } as routing.DecisionCore<unknown>;
    this.task = new routing.DecisionTask(core, this.time, () => {});
  }

  /** An execution of request `a`, whose caller waits for `deadline` milliseconds. */
  execution(
    deadline: number,
    changes: Partial<relayCall.RelayCall> = {},
  ): relayExecution.RelayExecution {
    const call = {
      profile: builder.profile('a', 0),
      requestId: 'a',
      headers: {},
      deadline,
      ...changes,
    };
    const reply = { fail: (failure: verdict.RequestFailure) => this.failures.push(failure) };
    return new relayExecution.RelayExecution(
      call as unknown as relayCall.RelayCall,
      this.context(),
      reply as unknown as relayReply.RelayReply,
    );
  }

  private context(): relayContext.RelayContext {
    const { task, pool, time } = this;
    return {
      task,
      pool,
      time,
      meter: new metrics.DisabledMetrics(),
      observer: { attemptFailed: () => {}, incarnationObserved: () => {} },
      headerCodec: { attemptHeaders: () => ({}) },
      stallDetector: { attemptSent: () => {}, attemptEnded: () => {}, dataReceived: () => {} },
      bufferBudget: new bufferBudget.BufferBudget(),
      forwarder: { isActive: false },
      server: (id: string) => this.servers.find((server) => server.id === id),
      cacheNamespace: () => 'desk',
    } as unknown as relayContext.RelayContext;
  }
}

/** Lets everything run that waits for no timer. */
export function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
