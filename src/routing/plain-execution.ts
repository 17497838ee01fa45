import * as results from 'ts-results';
import * as backend from '../backend';
import * as decision from '../decision';
import * as verdict from '../verdict';
import * as attemptExecution from './attempt-execution';
import type * as executionContext from './execution-context';

/** A request for a plain service after its idempotency key, if it has one, was claimed. */
export interface PlainCall {
  readonly profile: decision.RequestProfile;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMilliseconds: number;
}

type PlainResult = results.Result<backend.PlainAnswer, verdict.RequestFailure>;

/** One request for a plain service; the decision core chooses the server and decides about retries. */
export class PlainExecution extends attemptExecution.AttemptExecution {
  /** Resolves with the answer, or with the failure that ended the request. */
  readonly result: Promise<PlainResult>;

  private resolve!: (result: PlainResult) => void;

  constructor(
    private readonly call: PlainCall,
    context: executionContext.ExecutionContext,
  ) {
    super(call.profile, context);
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  override fail(failure: verdict.RequestFailure): void {
    this.end();
    this.meter.failed(failure);
    this.resolve(new results.Err(failure));
  }

  /**
   * Cancels the request after the caller disconnected. A non-idempotent request that may have been sent
   * continues, so that its answer is recorded for a resend.
   */
  cancel(): void {
    if (this.isOver || (!this.profile.idempotent && this.isRunning)) {
      return;
    }
    this.abandon();
    this.resolve(new results.Err(this.profile.idempotent ? CALLER_GONE : CALLER_GONE_BEFORE_SEND));
  }

  protected override async runAttempt(
    effect: decision.Dispatch,
    signal: AbortSignal,
  ): Promise<void> {
    const lease = this.context.pool.plainService(effect.serverId);
    if (lease === undefined) {
      this.attemptFailed(effect, attemptExecution.SERVER_GONE);
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
    if (this.finishAttempt(effect)) {
      this.resolve(new results.Ok(answer));
    }
  }
}

const { FailureReason, Verdict } = verdict;

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
