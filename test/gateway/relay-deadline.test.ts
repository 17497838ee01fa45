import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as decision from '../../src/decision';
import * as metrics from '../../src/metrics';
import * as routing from '../../src/routing';
import * as verdict from '../../src/verdict';
import * as bufferBudget from '../../src/gateway/buffer-budget';
import * as relayExecution from '../../src/gateway/relay-execution';
import type * as relayContext from '../../src/gateway/relay-context';
import type * as relayReply from '../../src/gateway/relay-reply';
import * as builder from '../decision/builder';

const suite = uvu.suite('relayed requests whose time runs out');

const { FailureReason, Verdict } = verdict;

const TIMED_OUT = verdict.failure(FailureReason.Timeout, Verdict.MayHaveRun, 'No answer.');

const DEADLINE = 1_000;

/** A server that never answers. */
class HangingServer extends backend.RelayServer {
  constructor(
    private readonly time: clock.Clock,
    private readonly requests: backend.RelayRequest[],
  ) {
    super();
  }

  override relay(
    request: backend.RelayRequest,
    receiver: backend.RelayReceiver,
  ): backend.RelayHandle {
    this.requests.push(request);
    this.time.setTimer(request.timeoutMilliseconds, () => receiver.onFailure(TIMED_OUT, undefined));
    return { pause: () => {}, resume: () => {}, cancel: () => {}, reject: () => {} };
  }

  override async order(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async reserve(): Promise<results.Ok<undefined>> {
    return new results.Ok(undefined);
  }

  override async release(): Promise<void> {}

  override async probe(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async probeOnOpenConnection(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async close(): Promise<void> {}
}

/** A gateway's part behind the admission, with two servers; the clock stands between two milliseconds. */
function open() {
  const time = new clock.ManualClock(0.4);
  const requests: backend.RelayRequest[] = [];
  const failures: verdict.RequestFailure[] = [];
  const pool = new routing.BackendPool({ open: () => new HangingServer(time, requests) });
  pool.update(builder.listServers(2));
  const core = {
    startState: builder.createDriver(2).state as unknown,
    update: decision.update,
    isWaiting: decision.isWaiting,
  } as routing.DecisionCore<unknown>;
  const task = new routing.DecisionTask(core, time, () => {});
  const context = {
    task,
    pool,
    time,
    meter: new metrics.DisabledMetrics(),
    observer: { attemptFailed: () => {}, incarnationObserved: () => {} },
    headerCodec: { attemptHeaders: () => ({}) },
    stallDetector: { attemptSent: () => {}, attemptEnded: () => {}, dataReceived: () => {} },
    bufferBudget: new bufferBudget.BufferBudget(),
    forwarder: { isActive: false },
    server: () => undefined,
    cacheNamespace: () => undefined,
  } as unknown as relayContext.RelayContext;
  const reply = { fail: (failure: verdict.RequestFailure) => failures.push(failure) };
  const call = {
    profile: builder.profile('a', 0),
    requestId: 'a',
    headers: {},
    deadline: DEADLINE,
  };
  task.submit(
    new relayExecution.RelayExecution(
      call as unknown as relayExecution.RelayCall,
      context,
      reply as unknown as relayReply.RelayReply,
    ),
  );
  return { time, task, requests, failures };
}

/** Lets everything run that waits for no timer. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

// Guards against a request that is sent to another server within the last millisecond of its time.
suite('a request that waits at a server until its deadline reaches no other one', async () => {
  const { time, task, requests, failures } = open();
  await settle();
  for (let steps = 0; steps < 10 * DEADLINE; steps += 1) {
    time.advance(0.1);
    if (time.monotonic() > DEADLINE - 2) {
      await settle();
    }
    if (time.monotonic() > DEADLINE + 1) {
      break;
    }
  }
  task.close();
  assert.is(requests.length, 1);
  assert.equal(
    failures.map(({ reason }) => reason),
    [FailureReason.Timeout],
  );
});

suite.run();
