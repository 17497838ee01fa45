import * as results from 'ts-results';
import * as backend from '../backend';
import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import type * as engineExecution from './engine-execution';
import * as requestExecution from './request-execution';
import * as streamMeter from './stream-meter';

/** A request for a plain service after its key was claimed, if it needed one. */
export interface PlainCall {
  readonly profile: decision.RequestProfile;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number;
}

type PlainResult = results.Result<backend.PlainAnswer, verdict.RequestFailure>;

/** One request for a plain service; the core decides where it goes and whether it is retried. */
export class PlainExecution extends requestExecution.RequestExecution {
  readonly profile: decision.RequestProfile;

  /** Resolves with the answer, or with the failure that ended the request. */
  readonly result: Promise<PlainResult>;

  private resolve!: (result: PlainResult) => void;

  private readonly attempts = new Map<string, AbortController>();

  private readonly streamMeter: streamMeter.StreamMeter;

  private isOver = false;

  constructor(
    private readonly call: PlainCall,
    private readonly context: engineExecution.ExecutionContext,
  ) {
    super();
    this.profile = call.profile;
    this.streamMeter = new streamMeter.StreamMeter(context.meter, context.time, call.profile);
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  override get isRunning(): boolean {
    return this.attempts.size > 0;
  }

  override dispatch(effect: decision.Dispatch): void {
    this.streamMeter.dispatched(effect);
    const controller = new AbortController();
    this.attempts.set(effect.attemptId, controller);
    this.runAttempt(effect, controller.signal).catch((error: Error) => {
      logger.error('attempt ended with an exception', { reason: error.message });
      this.attemptFailed(effect, INTERNAL_FAULT);
    });
  }

  override cancelAttempt(attemptId: string): void {
    this.attempts.get(attemptId)?.abort();
    this.attempts.delete(attemptId);
  }

  override fail(failure: verdict.RequestFailure): void {
    this.end();
    this.streamMeter.failed(failure);
    this.resolve(new results.Err(failure));
  }

  /**
   * The caller has gone. A non-idempotent request that may have been sent goes on, so that its answer
   * is recorded for a resend.
   */
  cancel(): void {
    if (this.isOver || (!this.profile.idempotent && this.attempts.size > 0)) {
      return;
    }
    this.end();
    const { task } = this.context;
    const { requestId } = this.profile;
    task.feed({ kind: decision.DecisionEventKind.RequestCancelled, at: task.now(), requestId });
    task.forget(requestId);
    this.resolve(new results.Err(this.profile.idempotent ? CALLER_GONE : CALLER_GONE_BEFORE_SEND));
  }

  private async runAttempt(effect: decision.Dispatch, signal: AbortSignal): Promise<void> {
    const lease = this.context.pool.plainService(effect.serverId);
    if (lease === undefined) {
      this.attemptFailed(effect, SERVER_GONE);
      return;
    }
    try {
      const answer = await lease.client.call(this.plainRequest(signal));
      if (answer.ok) {
        this.finish(effect, answer.val);
      } else {
        this.attemptFailed(effect, answer.val);
      }
    } finally {
      lease.release();
    }
  }

  private plainRequest(signal: AbortSignal): backend.PlainRequest {
    const { profile, method, path, headers, body, timeoutMilliseconds } = this.call;
    return {
      requestId: profile.requestId,
      method,
      path,
      headers,
      body,
      freshConnection: !profile.idempotent,
      timeoutMilliseconds,
      signal,
    };
  }

  private finish(effect: decision.Dispatch, answer: backend.PlainAnswer): void {
    if (this.isOver || !this.attempts.delete(effect.attemptId)) {
      return;
    }
    const { task } = this.context;
    const { requestId } = this.profile;
    task.feed({
      kind: decision.DecisionEventKind.AttemptFinished,
      at: task.now(),
      requestId,
      attemptId: effect.attemptId,
    });
    task.forget(requestId);
    this.end();
    this.streamMeter.finished();
    this.resolve(new results.Ok(answer));
  }

  private attemptFailed(effect: decision.Dispatch, failure: verdict.RequestFailure): void {
    const { attemptId, serverId } = effect;
    if (this.isOver || !this.attempts.delete(attemptId)) {
      return;
    }
    const { requestId, team, service } = this.profile;
    const { reason, verdict: outcome } = failure;
    logger.information('attempt failed', {
      requestId,
      team,
      service,
      backendServer: serverId,
      verdict: outcome,
      reason,
    });
    this.context.observer.attemptFailed(serverId, failure);
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.AttemptFailed,
      at: task.now(),
      requestId,
      attemptId,
      failure,
    });
  }

  private end(): void {
    this.isOver = true;
    this.attempts.forEach((controller) => controller.abort());
    this.attempts.clear();
  }
}

const logger = new logging.Logger('routing');

const { FailureReason, Verdict } = verdict;

const SERVER_GONE = verdict.failure(
  FailureReason.NoBackendServer,
  Verdict.NotRun,
  'The chosen backend server is gone.',
);

const INTERNAL_FAULT = verdict.failure(
  FailureReason.Internal,
  Verdict.MayHaveRun,
  'The router failed while it handled the request.',
);

const CALLER_GONE = verdict.failure(
  FailureReason.CallerGone,
  Verdict.MayHaveRun,
  'The caller closed the connection.',
);

const CALLER_GONE_BEFORE_SEND = verdict.failure(
  FailureReason.CallerGone,
  Verdict.NotRun,
  'The caller closed the connection before the request was sent.',
);
