import * as backend from '../backend';
import * as decision from '../decision';
import * as stream from '../stream';
import * as verdict from '../verdict';
import type * as answerSink from './answer-sink';
import * as attemptExecution from './attempt-execution';
import type * as executionContext from './execution-context';
import * as streamExecution from './stream-execution';

/** A generation request after admission to the router. */
export interface EngineCall {
  readonly profile: decision.RequestProfile;
  readonly path: string;
  /** JSON text with `stream` set. */
  readonly body: string;
  readonly model: string;
  readonly weightsVersion: string;
}

interface RunningAttempt {
  readonly effect: decision.Dispatch;
  /** Number of the first piece that the attempt sends. */
  readonly from: number;
  readonly signal: AbortSignal;
}

/**
 * One generation request: streams pieces from the servers that the decision core chose into one sink. The
 * sink receives each piece once and in order, also when attempts fail.
 */
export class EngineExecution extends streamExecution.StreamExecution {
  /** Delivery progress of the answer over all attempts. */
  private delivered = stream.initialState();

  /** Id of the attempt whose pieces are delivered; another attempt may replace it after a failure. */
  private deliveringAttempt: string | undefined;

  /** Settles when the pieces of the delivering attempt are no longer held back. */
  private delivery: Promise<void> = Promise.resolve();

  private settleDelivery: (() => void) | undefined;

  constructor(
    private readonly call: EngineCall,
    context: executionContext.ExecutionContext,
    private readonly sink: answerSink.AnswerSink,
  ) {
    super(call.profile, context);
  }

  override cancelAttempt(attemptId: string, reason: decision.CancelReason): void {
    this.stopDelivering(attemptId);
    super.cancelAttempt(attemptId, reason);
  }

  override fail(failure: verdict.RequestFailure, cutStream?: decision.CutStream): void {
    this.end();
    this.logCut(cutStream);
    this.meter.failed(failure);
    this.sink.fail(failure);
  }

  /** Stops every attempt after the caller disconnected and reports the cancellation to the decision core. */
  cancel(): void {
    if (!this.isOver) {
      this.abandon();
    }
  }

  protected override async runAttempt(
    effect: decision.Dispatch,
    signal: AbortSignal,
  ): Promise<void> {
    const lease = this.context.pool.engine(effect.serverId);
    if (lease === undefined) {
      this.attemptFailed(effect, attemptExecution.SERVER_GONE);
      return;
    }
    try {
      if (effect.offer === true && this.isRunningElsewhere(effect)) {
        this.beginOffer(effect);
      }
      const from = this.startingPiece(effect);
      const started = await lease.client.start(this.engineRequest(effect, from, signal));
      if (started.err) {
        this.attemptFailed(effect, started.val);
        return;
      }
      const failure = await this.deliver({ effect, from, signal }, started.val);
      if (failure !== undefined) {
        this.attemptFailed(effect, failure);
      }
      await started.val.cancel();
    } finally {
      lease.release();
    }
  }

  /** A resumed attempt repeats the last delivered piece, so that a different text is detected. */
  private startingPiece(effect: decision.Dispatch): number {
    return effect.resumeFrom === 0 ? 0 : stream.resumePoint(this.delivered);
  }

  private engineRequest(
    effect: decision.Dispatch,
    resumeFrom: number,
    signal: AbortSignal,
  ): backend.EngineRequest {
    const { profile, path, body, model, weightsVersion } = this.call;
    return {
      requestId: profile.requestId,
      path,
      body,
      team: profile.team,
      model,
      weightsVersion,
      priority: profile.priority,
      prefixChain: profile.prefixChain,
      resumeFrom,
      // The connection that broke or went silent may still be in the pool.
      freshConnection: effect.resumeFrom > 0 || effect.hedge,
      signal,
    };
  }

  /** Delivers pieces to the sink; returns the failure of the attempt, if it failed. */
  private async deliver(
    attempt: RunningAttempt,
    answer: backend.EngineStream,
  ): Promise<verdict.RequestFailure | undefined> {
    if (answer.head.requestId !== this.profile.requestId) {
      return MISMATCHED_ANSWER;
    }
    this.answerStarted(attempt.effect, answer.head);
    for await (const received of answer.pieces()) {
      if (this.deliveringAttempt === attempt.effect.attemptId) {
        await this.delivery;
      }
      if (attempt.signal.aborted || this.isOver) {
        return undefined;
      }
      if (received.err) {
        return received.val;
      }
      const isValid = await this.receivePiece(attempt, received.val);
      if (!isValid) {
        return BROKEN_STREAM;
      }
    }
    return attempt.signal.aborted || this.isOver ? undefined : BROKEN_STREAM;
  }

  /** Delivers a piece if it is the next one; returns false when the attempt has failed. */
  private async receivePiece(
    attempt: RunningAttempt,
    piece: backend.StreamPiece,
  ): Promise<boolean> {
    const { effect, from } = attempt;
    if (this.deliveringAttempt === undefined) {
      if (from < stream.resumePoint(this.delivered)) {
        return false;
      }
      this.deliveringAttempt = effect.attemptId;
      this.delivered = stream.resume(this.delivered, from);
    }
    if (this.deliveringAttempt !== effect.attemptId) {
      if (effect.offer !== true) {
        return true;
      }
      if (piece.number < this.delivered.nextPiece) {
        return repeatsDelivered(stream.resume(this.delivered, from), piece);
      }
    }
    const step = stream.accept(this.delivered, piece);
    if (step.effects.some(({ kind }) => kind === stream.StreamEffectKind.Break)) {
      return false;
    }
    this.deliveringAttempt = effect.attemptId;
    this.delivered = step.state;
    if (step.state.ended) {
      this.finish(effect);
    } else if (step.effects.length > 0) {
      this.attemptDelivers(effect.attemptId);
      this.reportPiece(effect);
      await this.sink.writePiece(piece.data);
    }
    return true;
  }

  protected override holdDelivery(): void {
    this.delivery = new Promise((resolve) => {
      this.settleDelivery = resolve;
    });
  }

  protected override releaseDelivery(): void {
    this.settleDelivery?.();
  }

  private reportPiece(effect: decision.Dispatch): void {
    this.meter.pieceReceived();
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.PieceReceived,
      at: task.now(),
      requestId: this.profile.requestId,
      attemptId: effect.attemptId,
      nextPiece: this.delivered.nextPiece,
    });
  }

  private finish(effect: decision.Dispatch): void {
    if (this.finishAttempt(effect)) {
      this.sink.complete();
    }
  }

  private answerStarted(effect: decision.Dispatch, head: backend.EngineAnswerHead): void {
    const { task, observer } = this.context;
    observer.incarnationObserved(effect.serverId, head.incarnation);
    this.meter.answerStarted(head);
    task.feed({
      kind: decision.DecisionEventKind.AnswerStarted,
      at: task.now(),
      requestId: this.profile.requestId,
      attemptId: effect.attemptId,
      incarnation: head.incarnation,
      weightsVersion: head.weightsVersion,
      cachedTokens: head.cachedTokens,
      promptTokens: head.promptTokens,
    });
  }

  protected override attemptFailed(
    effect: decision.Dispatch,
    failure: verdict.RequestFailure,
  ): void {
    this.stopDelivering(effect.attemptId);
    super.attemptFailed(effect, failure);
  }

  /** Allows another attempt to continue the stream. */
  private stopDelivering(attemptId: string): void {
    if (this.deliveringAttempt === attemptId) {
      this.deliveringAttempt = undefined;
    }
  }
}

/** Whether an attempt that is offered a stream begins with the same text as the run that it may take over from. */
function repeatsDelivered(resumed: stream.StreamState, piece: backend.StreamPiece): boolean {
  const { effects } = stream.accept(resumed, piece);
  return !effects.some(({ kind }) => kind === stream.StreamEffectKind.Break);
}

const { FailureReason, Verdict } = verdict;

const BROKEN_STREAM = verdict.failure(
  FailureReason.StreamBroken,
  Verdict.MayHaveRun,
  'The stream of the backend server had a gap or ended early.',
);

const MISMATCHED_ANSWER = verdict.failure(
  FailureReason.AnswerMismatch,
  Verdict.MayHaveRun,
  'The backend server answered another request.',
);
