import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import type * as decisionCore from './decision-core';
import type * as requestExecution from './request-execution';

/** Tells the peer daemons of a crash, or of an answer that began safely. */
export type CrashReporter = (report: decision.ReportCrash | decision.ReportSafeBegin) => void;

/**
 * Returns the event that became due as time passed and that the core has to apply before an event at `at`
 * (monotonic milliseconds); `undefined` when none is due.
 */
export type DueEventSource = (at: number) => decision.DecisionEvent | undefined;

/**
 * Holds the state of the decision core. Applies one event at a time, in order of arrival, and passes the
 * effects to the executions of the affected requests.
 */
export class DecisionTask<State = unknown> {
  private state: State;

  private readonly executions = new Map<string, requestExecution.RequestExecution>();

  private readonly queue: decision.DecisionEvent[] = [];

  private isDraining = false;

  private isClosed = false;

  private tickTimer: clock.Timer | undefined;

  /** Current interval of the ticks in milliseconds. */
  private intervalMilliseconds = Number.POSITIVE_INFINITY;

  constructor(
    private readonly core: decisionCore.DecisionCore<State>,
    private readonly time: clock.Clock,
    private readonly reportCrash: CrashReporter,
    private readonly dueEventSource: DueEventSource = () => undefined,
  ) {
    this.state = core.startState;
    this.scheduleTick();
  }

  /** The state of the core after the last event. */
  get current(): State {
    return this.state;
  }

  /** Requests that are queued or running. */
  get activeRequests(): number {
    return this.executions.size;
  }

  /** Requests with an attempt at a backend server. */
  get runningRequests(): number {
    return [...this.executions.values()].filter((execution) => execution.isRunning).length;
  }

  /** Monotonic time in milliseconds, for the `at` field of events. */
  now(): number {
    return this.time.monotonic();
  }

  /**
   * Applies an event, after the events that are queued already.
   *
   * @example
   * task.feed({ kind: DecisionEventKind.ServersChanged, at: task.now(), servers });
   */
  feed(event: decision.DecisionEvent): void {
    this.queue.push(event);
    this.drain();
  }

  /** Registers a new request and reports its arrival to the core. */
  submit(execution: requestExecution.RequestExecution): void {
    this.executions.set(execution.profile.requestId, execution);
    const { profile } = execution;
    this.feed({ kind: decision.DecisionEventKind.RequestArrived, at: this.now(), profile });
  }

  /** Removes a request whose answer is complete or whose caller has disconnected. */
  forget(requestId: string): void {
    this.executions.delete(requestId);
  }

  /** Tells every request that this daemon cannot reach the backend servers. */
  connectivityLost(): void {
    [...this.executions.values()].forEach((execution) => execution.connectivityLost?.());
  }

  /**
   * Ends every request with a failure; used when the grace period of a shutdown has expired.
   *
   * @param failure failure of a request that was never sent; the verdict on others says that they may have run
   */
  abortAll(failure: verdict.RequestFailure): void {
    this.feed({ kind: decision.DecisionEventKind.Stopped, at: this.now(), failure });
    [...this.executions.entries()].forEach(([requestId, execution]) => {
      this.forget(requestId);
      execution.fail({ ...failure, verdict: verdict.Verdict.MayHaveRun });
    });
  }

  close(): void {
    this.isClosed = true;
    this.tickTimer?.cancel();
  }

  private drain(): void {
    if (this.isDraining) {
      return;
    }
    this.isDraining = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        this.apply(next);
      }
    } finally {
      this.isDraining = false;
    }
    if (this.requiredInterval() < this.intervalMilliseconds) {
      this.scheduleTick();
    }
  }

  /** An exception in the core ends only the affected request, not the daemon with all other requests. */
  private apply(event: decision.DecisionEvent): void {
    try {
      const dueEvent = APPLIED_WITHOUT_DUE_EVENT.has(event.kind)
        ? undefined
        : this.dueEventSource(event.at);
      if (dueEvent !== undefined) {
        this.advance(dueEvent);
      }
      this.advance(event);
    } catch (error) {
      const { message } = error as Error;
      logger.error('event could not be applied; its request, if there is one, fails', {
        event: event.kind,
        reason: message,
      });
      this.failRequest(requestIdOf(event));
    }
  }

  private advance(event: decision.DecisionEvent): void {
    const step = this.core.update(this.state, event);
    this.state = step.state;
    step.effects.forEach((effect) => this.carryOut(effect));
  }

  private failRequest(requestId: string | undefined): void {
    const execution = requestId === undefined ? undefined : this.executions.get(requestId);
    if (execution !== undefined && requestId !== undefined) {
      this.forget(requestId);
      const kind = decision.DecisionEventKind.RequestCancelled;
      this.queue.push({ kind, at: this.now(), requestId });
      execution.fail(INTERNAL_FAULT);
    }
  }

  private carryOut(effect: decision.DecisionEffect): void {
    if (
      effect.kind === decision.DecisionEffectKind.ReportCrash ||
      effect.kind === decision.DecisionEffectKind.ReportSafeBegin
    ) {
      this.reportCrash(effect);
      return;
    }
    const execution = this.executions.get(effect.requestId);
    if (execution === undefined) {
      logger.debug('ignored an effect of a request that has ended', {
        requestId: effect.requestId,
      });
      return;
    }
    switch (effect.kind) {
      case decision.DecisionEffectKind.Dispatch:
        execution.dispatch(effect);
        break;
      case decision.DecisionEffectKind.CancelAttempt:
        execution.cancelAttempt(effect.attemptId, effect.reason);
        break;
      case decision.DecisionEffectKind.AwaitRetry:
        execution.awaitRetry?.(effect);
        break;
      default:
        this.forget(effect.requestId);
        execution.fail(effect.failure, effect.cutStream);
    }
  }

  /** Schedules ticks often while requests wait for a server, less often while some run, and rarely otherwise. */
  private scheduleTick(): void {
    this.tickTimer?.cancel();
    if (this.isClosed) {
      return;
    }
    this.intervalMilliseconds = this.requiredInterval();
    this.tickTimer = this.time.setTimer(this.intervalMilliseconds, () => {
      this.feed({ kind: decision.DecisionEventKind.Tick, at: this.now() });
      this.scheduleTick();
    });
  }

  private requiredInterval(): number {
    if (this.core.isWaiting(this.state)) {
      return WAITING_TICK_MILLISECONDS;
    }
    return this.executions.size > 0 ? RUNNING_TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS;
  }
}

function requestIdOf(event: decision.DecisionEvent): string | undefined {
  if (event.kind === decision.DecisionEventKind.RequestArrived) {
    return event.profile.requestId;
  }
  return 'requestId' in event ? event.requestId : undefined;
}

/**
 * Events before which no due event is applied; it is applied before the next event instead. A new configuration
 * was built before the due event and must not replace the configuration in it. A piece causes no dispatch, and it
 * shows that its stream has begun.
 */
const APPLIED_WITHOUT_DUE_EVENT: ReadonlySet<decision.DecisionEventKind> = new Set([
  decision.DecisionEventKind.ConfigurationChanged,
  decision.DecisionEventKind.PieceReceived,
]);

const INTERNAL_FAULT = verdict.failure(
  verdict.FailureReason.Internal,
  verdict.Verdict.MayHaveRun,
  'The router failed while it handled the request.',
);

const logger = new logging.Logger('routing');

// A request that cannot meet its deadline must be refused within 50 ms.
const WAITING_TICK_MILLISECONDS = 20;

// The core checks for stragglers and late first tokens every 100 ms.
const RUNNING_TICK_MILLISECONDS = 50;

const IDLE_TICK_MILLISECONDS = 1_000;
