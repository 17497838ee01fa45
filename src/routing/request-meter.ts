import * as backend from '../backend';
import * as clock from '../clock';
import * as decision from '../decision';
import * as metrics from '../metrics';
import * as verdict from '../verdict';

/** Records the metrics of one request under its team, class and service. */
export class RequestMeter {
  private readonly startedAt: number;

  private readonly tags: metrics.MetricTags;

  private lastPieceAt: number | undefined;

  private hasAnswer = false;

  constructor(
    private readonly meter: metrics.Metrics,
    private readonly time: clock.Clock,
    profile: decision.RequestProfile,
  ) {
    this.startedAt = time.monotonic();
    this.tags = { team: profile.team, class: profile.class, service: profile.service };
    meter.count(metrics.Counter.Requests, this.tags);
  }

  dispatched(effect: decision.Dispatch): void {
    this.meter.observe(metrics.Histogram.QueueTime, effect.queuedMilliseconds, this.tags);
    if (effect.hedge) {
      this.meter.count(metrics.Counter.Hedges, this.tags);
    } else if (effect.resumeFrom > 0) {
      this.meter.count(metrics.Counter.Resumes, this.tags);
    }
  }

  /** Records tokens for the first answer only: a resumed stream prefills the same prompt again. */
  answerStarted(head: backend.EngineAnswerHead): void {
    if (this.hasAnswer) {
      return;
    }
    this.hasAnswer = true;
    const recomputed = Math.max(0, head.promptTokens - head.cachedTokens);
    this.meter.observe(metrics.Histogram.CachedTokens, head.cachedTokens, this.tags);
    this.meter.observe(metrics.Histogram.RecomputedTokens, recomputed, this.tags);
  }

  pieceReceived(): void {
    const now = this.time.monotonic();
    if (this.lastPieceAt === undefined) {
      this.meter.observe(metrics.Histogram.FirstToken, now - this.startedAt, this.tags);
    } else {
      this.meter.observe(metrics.Histogram.BetweenTokens, now - this.lastPieceAt, this.tags);
    }
    this.lastPieceAt = now;
  }

  finished(): void {
    const duration = this.time.monotonic() - this.startedAt;
    this.meter.observe(metrics.Histogram.RequestTime, duration, this.tags);
  }

  /** Counts malformed answers, also of attempts after which the request continues. */
  attemptFailed({ malformed, reason, verdict: outcome }: verdict.RequestFailure): void {
    if (malformed === true) {
      const tags = { ...this.tags, reason, verdict: outcome };
      this.meter.count(metrics.Counter.MalformedAnswers, tags);
    }
  }

  /** Counts attempts that were given up although they had not failed by themselves. */
  attemptCancelled(reason: decision.CancelReason): void {
    this.meter.count(metrics.Counter.CancelledAttempts, { ...this.tags, reason });
  }

  /** Counts attempts at servers whose weights version is unknown. */
  weightsUnknown(): void {
    this.meter.count(metrics.Counter.UnknownWeights, this.tags);
  }

  /** Counts streams that no server went on with after their callers had received a part. */
  streamCut(): void {
    this.meter.count(metrics.Counter.CutStreams, this.tags);
  }

  failed(failure: verdict.RequestFailure): void {
    const counter =
      failure.verdict === verdict.Verdict.NotRun
        ? metrics.Counter.Refusals
        : metrics.Counter.Failures;
    const { reason, verdict: outcome } = failure;
    this.meter.count(counter, { ...this.tags, reason, verdict: outcome });
  }
}
