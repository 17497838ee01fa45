import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import type * as executionContext from './execution-context';
import * as requestExecution from './request-execution';
import * as requestMeter from './request-meter';

interface RunningAttempt {
  readonly controller: AbortController;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
}

/**
 * The part of an execution that is the same for every kind of backend server: it tracks the running attempts
 * and reports to the decision task how each of them ended.
 */
export abstract class AttemptExecution extends requestExecution.RequestExecution {
  protected readonly meter: requestMeter.RequestMeter;

  protected isOver = false;

  /** Id of the request in log lines, if it differs from the id in the profile. */
  protected loggedId?: string;

  private readonly attempts = new Map<string, RunningAttempt>();

  constructor(
    override readonly profile: decision.RequestProfile,
    protected readonly context: executionContext.ExecutionContext,
  ) {
    super();
    this.meter = new requestMeter.RequestMeter(context.meter, context.time, profile);
  }

  override get isRunning(): boolean {
    return this.attempts.size > 0;
  }

  override dispatch(effect: decision.Dispatch): void {
    this.meter.dispatched(effect);
    const controller = new AbortController();
    const startedAt = this.context.time.monotonic();
    this.attempts.set(effect.attemptId, { controller, startedAt });
    this.runAttempt(effect, controller.signal).catch((error: Error) => {
      logger.error('attempt ended with an exception; reporting it as failed', {
        ...this.fields(),
        reason: error.message,
      });
      this.attemptFailed(effect, INTERNAL_FAULT);
    });
  }

  override cancelAttempt(attemptId: string, reason: decision.CancelReason): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    attempt.controller.abort();
    this.attempts.delete(attemptId);
    this.meter.attemptCancelled(reason);
    logger.information('attempt cancelled', {
      ...this.fields(),
      ...this.progressFields(),
      attempt: attemptId,
      attemptMilliseconds: this.millisecondsSince(attempt),
      reason,
    });
  }

  override awaitRetry({ pauseMilliseconds, retriesLeft }: decision.AwaitRetry): void {
    logger.information('stream waits for a retry', {
      ...this.fields(),
      pauseMilliseconds,
      retriesLeft: Number(retriesLeft.toFixed(2)),
    });
  }

  protected isAttemptRunning(attemptId: string): boolean {
    return this.attempts.has(attemptId);
  }

  /** Whether the request has another running attempt. */
  protected isRunningElsewhere({ attemptId }: decision.Dispatch): boolean {
    return [...this.attempts.keys()].some((other) => other !== attemptId);
  }

  /** Stops an attempt that has not failed by itself, and reports the failure. */
  protected abortAttempt(effect: decision.Dispatch, failure: verdict.RequestFailure): void {
    this.attempts.get(effect.attemptId)?.controller.abort();
    this.attemptFailed(effect, failure);
  }

  /** Logs why no server could go on with a stream that its caller has received a part of. */
  protected logCut(cutStream: decision.CutStream | undefined): void {
    if (cutStream !== undefined) {
      const { retriesLeft, ...counts } = cutStream;
      this.meter.streamCut();
      logger.warning('stream is cut; no server goes on with it', {
        ...this.fields(),
        ...counts,
        retriesLeft: Number(retriesLeft.toFixed(2)),
      });
    }
  }

  /** Runs one attempt to its end and reports a failure with `attemptFailed`. */
  protected abstract runAttempt(effect: decision.Dispatch, signal: AbortSignal): Promise<void>;

  /**
   * Reports a failed attempt to the decision core, unless it was cancelled or the request has ended.
   *
   * @param isUnsent set if nothing was sent to the server
   */
  protected attemptFailed(
    effect: decision.Dispatch,
    failure: verdict.RequestFailure,
    isUnsent?: true,
  ): void {
    const { attemptId, serverId } = effect;
    const attempt = this.attempts.get(attemptId);
    if (this.isOver || attempt === undefined) {
      return;
    }
    this.attempts.delete(attemptId);
    const { reason, verdict: outcome } = failure;
    logger.information('attempt failed', {
      ...this.fields(),
      ...this.progressFields(),
      backendServer: serverId,
      attempt: attemptId,
      attemptMilliseconds: this.millisecondsSince(attempt),
      verdict: outcome,
      reason,
      ...(failure.malformed === true ? malformedFields(failure) : {}),
    });
    this.meter.attemptFailed(failure);
    this.context.observer.attemptFailed(serverId, failure);
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.AttemptFailed,
      at: task.now(),
      requestId: this.profile.requestId,
      attemptId,
      failure,
      isUnsent,
    });
  }

  /** Ends the request after a complete answer; false when the attempt or the request has already ended. */
  protected finishAttempt({ attemptId }: decision.Dispatch): boolean {
    if (this.isOver || !this.attempts.delete(attemptId)) {
      return false;
    }
    const { task } = this.context;
    const { requestId } = this.profile;
    const kind = decision.DecisionEventKind.AttemptFinished;
    task.feed({ kind, at: task.now(), requestId, attemptId });
    task.forget(requestId);
    this.end();
    this.meter.finished();
    return true;
  }

  /** Stops every attempt after the caller disconnected and reports the cancellation to the decision core. */
  protected abandon(): void {
    this.end();
    const { task } = this.context;
    const { requestId } = this.profile;
    task.feed({ kind: decision.DecisionEventKind.RequestCancelled, at: task.now(), requestId });
    task.forget(requestId);
  }

  protected end(): void {
    this.isOver = true;
    this.attempts.forEach(({ controller }) => controller.abort());
    this.attempts.clear();
  }

  /** How far an attempt that failed or was cancelled got, and what it has in common with others, for its log line. */
  protected progressFields(): logging.LogFields {
    return { sharedParts: this.profile.sharedParts?.join(',') };
  }

  private millisecondsSince({ startedAt }: RunningAttempt): number {
    return Math.round(this.context.time.monotonic() - startedAt);
  }

  private fields(): logging.LogFields {
    const { requestId, team, service } = this.profile;
    return { requestId: this.loggedId ?? requestId, team, service };
  }
}

function malformedFields({ message, receivedBytes }: verdict.RequestFailure): logging.LogFields {
  return { fault: message, receivedBytes };
}

const logger = new logging.Logger('routing');

/** The chosen server was removed from the list before the attempt could start. */
export const SERVER_GONE = verdict.failure(
  verdict.FailureReason.NoBackendServer,
  verdict.Verdict.NotRun,
  'The chosen backend server is gone.',
);

const INTERNAL_FAULT = verdict.failure(
  verdict.FailureReason.Internal,
  verdict.Verdict.MayHaveRun,
  'The router failed while it handled the request.',
);
