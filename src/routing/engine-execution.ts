import * as backend from '../backend';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as decision from '../decision';
import * as logging from '../logging';
import * as metrics from '../metrics';
import * as stream from '../stream';
import * as verdict from '../verdict';
import type * as answerSink from './answer-sink';
import type * as backendPool from './backend-pool';
import type * as decisionTask from './decision-task';
import * as requestExecution from './request-execution';
import type * as serverObserver from './server-observer';
import * as streamMeter from './stream-meter';

/** A generation request after admission to the router. */
export interface EngineCall {
  readonly profile: decision.RequestProfile;
  readonly path: string;
  /** JSON text with `stream` set. */
  readonly body: string;
  readonly model: string;
  readonly weightsVersion: string;
}

/** What executions share. */
export interface ExecutionContext {
  readonly task: decisionTask.DecisionTask;
  readonly pool: backendPool.BackendPool;
  readonly observer: serverObserver.ServerObserver;
  /** The weights version to ask for during a roll-out; by default the configured one. */
  readonly servingWeights?: (service: configuration.ModelServiceDocument) => string;
  readonly meter: metrics.Metrics;
  readonly time: clock.Clock;
}

interface RunningAttempt {
  readonly effect: decision.Dispatch;
  /** First piece that the attempt sends. */
  readonly from: number;
  readonly signal: AbortSignal;
}

/**
 * One generation request: streams from the servers that the core chose into one sink. Pieces reach the
 * sink once each and in order, whatever became of single attempts.
 */
export class EngineExecution extends requestExecution.RequestExecution {
  readonly profile: decision.RequestProfile;

  private readonly attempts = new Map<string, AbortController>();

  private readonly streamMeter: streamMeter.StreamMeter;

  /** How far the answer was delivered, over all attempts. */
  private delivered = stream.start();

  /** The attempt whose pieces are delivered; another attempt may take over when it has failed. */
  private deliveringAttempt: string | undefined;

  private isOver = false;

  constructor(
    private readonly call: EngineCall,
    private readonly context: ExecutionContext,
    private readonly sink: answerSink.AnswerSink,
  ) {
    super();
    this.profile = call.profile;
    this.streamMeter = new streamMeter.StreamMeter(context.meter, context.time, call.profile);
  }

  override get isRunning(): boolean {
    return this.attempts.size > 0;
  }

  override dispatch(effect: decision.Dispatch): void {
    this.streamMeter.dispatched(effect);
    const controller = new AbortController();
    this.attempts.set(effect.attemptId, controller);
    this.runAttempt(effect, controller.signal).catch((error: Error) => {
      logger.error('attempt ended with an exception', { ...this.fields(), reason: error.message });
      this.attemptFailed(effect, BROKEN_STREAM);
    });
  }

  override cancelAttempt(attemptId: string): void {
    this.attempts.get(attemptId)?.abort();
    this.attempts.delete(attemptId);
  }

  override fail(failure: verdict.RequestFailure): void {
    this.end();
    this.streamMeter.failed(failure);
    this.sink.fail(failure);
  }

  /** The caller has gone: stops every attempt and tells the core. */
  cancel(): void {
    if (this.isOver) {
      return;
    }
    this.end();
    const { task } = this.context;
    const { requestId } = this.profile;
    task.feed({ kind: decision.DecisionEventKind.RequestCancelled, at: task.now(), requestId });
    task.forget(requestId);
  }

  private async runAttempt(effect: decision.Dispatch, signal: AbortSignal): Promise<void> {
    const lease = this.context.pool.engine(effect.serverId);
    if (lease === undefined) {
      this.attemptFailed(effect, SERVER_GONE);
      return;
    }
    try {
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

  /** A resumed attempt repeats the last delivered piece, which shows whether it is the same text. */
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

  /** Moves pieces to the sink; returns why the attempt failed, if it did. */
  private async deliver(
    attempt: RunningAttempt,
    answer: backend.EngineStream,
  ): Promise<verdict.RequestFailure | undefined> {
    if (answer.head.requestId !== this.profile.requestId) {
      return CROSSED_ANSWER;
    }
    this.answerStarted(attempt.effect, answer.head);
    for await (const received of answer.pieces()) {
      if (attempt.signal.aborted || this.isOver) {
        return undefined;
      }
      if (received.err) {
        return received.val;
      }
      const isSound = await this.take(attempt, received.val);
      if (!isSound) {
        return BROKEN_STREAM;
      }
    }
    return attempt.signal.aborted || this.isOver ? undefined : BROKEN_STREAM;
  }

  /** Passes a piece on when it is the next one; returns false when the attempt must be given up. */
  private async take(attempt: RunningAttempt, piece: backend.StreamPiece): Promise<boolean> {
    const { effect, from } = attempt;
    if (this.deliveringAttempt === undefined) {
      if (from < stream.resumePoint(this.delivered)) {
        return false;
      }
      this.deliveringAttempt = effect.attemptId;
      this.delivered = stream.resume(this.delivered, from);
    }
    if (this.deliveringAttempt !== effect.attemptId) {
      return true;
    }
    const step = stream.accept(this.delivered, piece);
    this.delivered = step.state;
    if (step.effects.some(({ kind }) => kind === stream.StreamEffectKind.Break)) {
      return false;
    }
    if (step.state.ended) {
      this.finish(effect);
    } else if (step.effects.length > 0) {
      this.reportPiece(effect);
      await this.sink.piece(piece.data);
    }
    return true;
  }

  private reportPiece(effect: decision.Dispatch): void {
    this.streamMeter.pieceReceived();
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
    const { task } = this.context;
    const { requestId } = this.profile;
    const { attemptId } = effect;
    this.attempts.delete(attemptId);
    task.feed({
      kind: decision.DecisionEventKind.AttemptFinished,
      at: task.now(),
      requestId,
      attemptId,
    });
    task.forget(requestId);
    this.end();
    this.streamMeter.finished();
    this.sink.complete();
  }

  private answerStarted(effect: decision.Dispatch, head: backend.EngineAnswerHead): void {
    const { task, observer } = this.context;
    observer.incarnationSeen(effect.serverId, head.incarnation);
    this.streamMeter.answerStarted(head);
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

  private attemptFailed(effect: decision.Dispatch, failure: verdict.RequestFailure): void {
    const { attemptId, serverId } = effect;
    if (this.isOver || !this.attempts.delete(attemptId)) {
      return;
    }
    if (this.deliveringAttempt === attemptId) {
      this.deliveringAttempt = undefined;
    }
    const { reason, verdict: outcome } = failure;
    logger.information('attempt failed', {
      ...this.fields(),
      backendServer: serverId,
      verdict: outcome,
      reason,
    });
    this.context.observer.attemptFailed(serverId, failure);
    const { task } = this.context;
    task.feed({
      kind: decision.DecisionEventKind.AttemptFailed,
      at: task.now(),
      requestId: this.profile.requestId,
      attemptId,
      failure,
    });
  }

  private end(): void {
    this.isOver = true;
    this.attempts.forEach((controller) => controller.abort());
    this.attempts.clear();
  }

  private fields(): logging.LogFields {
    const { requestId, team, service } = this.profile;
    return { requestId, team, service };
  }
}

const logger = new logging.Logger('routing');

const { FailureReason, Verdict } = verdict;

const SERVER_GONE = verdict.failure(
  FailureReason.NoBackendServer,
  Verdict.NotRun,
  'The chosen backend server is gone.',
);

const BROKEN_STREAM = verdict.failure(
  FailureReason.StreamBroken,
  Verdict.MayHaveRun,
  'The stream of the backend server had a gap or ended early.',
);

const CROSSED_ANSWER = verdict.failure(
  FailureReason.AnswerMismatch,
  Verdict.MayHaveRun,
  'The backend server answered another request.',
);
