import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import type * as decisionCore from './decision-core';
import type * as requestExecution from './request-execution';

/** Receives the crash reports that go to the peer daemons. */
export type CrashReporter = (report: decision.ReportCrash) => void;

/** What the core has to know before the event of the given time, because time alone has changed it. */
export type DueEventSource = (at: number) => decision.DecisionEvent | undefined;

/**
 * Owns the state of the decision core. Feeds it one event at a time, in the order of arrival, and
 * hands its effects to the executions of the requests concerned.
 */
export class DecisionTask<State = unknown> {
  private state: State;

  private readonly executions = new Map<string, requestExecution.RequestExecution>();

  private readonly queue: decision.DecisionEvent[] = [];

  private isDraining = false;

  private isClosed = false;

  private tickTimer: clock.Timer | undefined;

  /** Interval of the ticks at present. */
  private interval = Number.POSITIVE_INFINITY;

  constructor(
    private readonly core: decisionCore.DecisionCore<State>,
    private readonly time: clock.Clock,
    private readonly reportCrash: CrashReporter,
    private readonly renewal: DueEventSource = () => undefined,
  ) {
    this.state = core.startState;
    this.planTick();
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

  /** Monotonic time for the `at` field of events. */
  now(): number {
    return this.time.monotonic();
  }

  /**
   * Feeds an event.
   *
   * @example
   * task.feed({ kind: DecisionEventKind.ServersChanged, at: task.now(), servers });
   */
  feed(event: decision.DecisionEvent): void {
    this.queue.push(event);
    this.drain();
  }

  /** Hands a new request to the core. */
  submit(execution: requestExecution.RequestExecution): void {
    this.executions.set(execution.profile.requestId, execution);
    const { profile } = execution;
    this.feed({ kind: decision.DecisionEventKind.RequestArrived, at: this.now(), profile });
  }

  /** Forgets a request whose answer is complete or whose caller has gone. */
  forget(requestId: string): void {
    this.executions.delete(requestId);
  }

  /** Ends every request with a failure; used when the grace time of a shutdown is over. */
  abortAll(failure: verdict.RequestFailure): void {
    [...this.executions.entries()].forEach(([requestId, execution]) => {
      this.forget(requestId);
      this.feed({ kind: decision.DecisionEventKind.RequestCancelled, at: this.now(), requestId });
      execution.fail(failure);
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
    if (this.wantedInterval() < this.interval) {
      this.planTick();
    }
  }

  /** A fault in the handling of one event ends the request concerned, not the daemon with all others. */
  private apply(event: decision.DecisionEvent): void {
    try {
      const renewed = APPLIED_FIRST.has(event.kind) ? undefined : this.renewal(event.at);
      if (renewed !== undefined) {
        this.advance(renewed);
      }
      this.advance(event);
    } catch (error) {
      const { message } = error as Error;
      logger.error('event could not be handled', { event: event.kind, reason: message });
      this.abandon(requestIdOf(event));
    }
  }

  private advance(event: decision.DecisionEvent): void {
    const step = this.core.update(this.state, event);
    this.state = step.state;
    step.effects.forEach((effect) => this.carryOut(effect));
  }

  private abandon(requestId: string | undefined): void {
    const execution = requestId === undefined ? undefined : this.executions.get(requestId);
    if (execution !== undefined && requestId !== undefined) {
      this.forget(requestId);
      const kind = decision.DecisionEventKind.RequestCancelled;
      this.queue.push({ kind, at: this.now(), requestId });
      execution.fail(INTERNAL_FAULT);
    }
  }

  private carryOut(effect: decision.DecisionEffect): void {
    if (effect.kind === decision.DecisionEffectKind.ReportCrash) {
      this.reportCrash(effect);
      return;
    }
    const execution = this.executions.get(effect.requestId);
    if (execution === undefined) {
      logger.debug('effect for a request that is over', { requestId: effect.requestId });
      return;
    }
    switch (effect.kind) {
      case decision.DecisionEffectKind.Dispatch:
        execution.dispatch(effect);
        break;
      case decision.DecisionEffectKind.CancelAttempt:
        execution.cancelAttempt(effect.attemptId);
        break;
      default:
        this.forget(effect.requestId);
        execution.fail(effect.failure);
    }
  }

  /** Sends ticks often while requests wait for deadlines, less often while some run, and rarely otherwise. */
  private planTick(): void {
    this.tickTimer?.cancel();
    if (this.isClosed) {
      return;
    }
    this.interval = this.wantedInterval();
    this.tickTimer = this.time.setTimer(this.interval, () => {
      this.feed({ kind: decision.DecisionEventKind.Tick, at: this.now() });
      this.planTick();
    });
  }

  private wantedInterval(): number {
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
 * Events that no renewal precedes; the next event brings it. A new configuration was made before the renewal would be
 * and must not replace it. A piece leads to no dispatch, and shows that its stream has begun.
 */
const APPLIED_FIRST: ReadonlySet<decision.DecisionEventKind> = new Set([
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

// Stragglers and late first tokens are looked for each 100 ms.
const RUNNING_TICK_MILLISECONDS = 50;

const IDLE_TICK_MILLISECONDS = 1_000;
