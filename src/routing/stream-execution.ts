import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as attemptExecution from './attempt-execution';

/** An attempt that may take the stream over. */
interface Offer {
  readonly attemptId: string;
  readonly sentAt: number;
  /** Runs out if the attempt delivers nothing; absent once it has. */
  readonly timer?: clock.Timer;
}

/**
 * An execution whose answer may be a stream that moves to another server while its present run goes on. The pieces of that
 * run are held back for a moment: only then does the other server, which is told the last delivered piece, go on exactly
 * there. If it refuses or is late, the held pieces are delivered and nothing is lost.
 */
export abstract class StreamExecution extends attemptExecution.AttemptExecution {
  private offer: Offer | undefined;

  override cancelAttempt(attemptId: string, reason: decision.CancelReason): void {
    super.cancelAttempt(attemptId, reason);
    this.endOffer();
  }

  /** Call it just before an offer is sent to its server. */
  protected beginOffer(effect: decision.Dispatch): void {
    const timer = this.context.time.setTimer(OFFER_MILLISECONDS, () =>
      this.abortAttempt(effect, LATE_OFFER),
    );
    const sentAt = this.context.time.monotonic();
    this.offer = { attemptId: effect.attemptId, sentAt, timer };
    this.holdDelivery();
  }

  /** Holds the pieces of the running attempt back. */
  protected abstract holdDelivery(): void;

  /** Delivers the pieces that were held back, unless their attempt has ended. */
  protected abstract releaseDelivery(): void;

  /** Call it when an attempt delivers a piece: an offer that has begun to deliver is no longer late. */
  protected attemptDelivers(attemptId: string): void {
    const { offer } = this;
    if (offer?.timer !== undefined && offer.attemptId === attemptId) {
      offer.timer.cancel();
      this.offer = { attemptId, sentAt: offer.sentAt };
      const milliseconds = Math.round(this.context.time.monotonic() - offer.sentAt);
      logger.information('stream is taken over', { attempt: attemptId, milliseconds });
    }
  }

  protected override attemptFailed(
    effect: decision.Dispatch,
    failure: verdict.RequestFailure,
    isUnsent?: true,
  ): void {
    if (this.isAttemptRunning(effect.attemptId)) {
      this.endOffer();
    }
    super.attemptFailed(effect, failure, isUnsent);
  }

  protected override end(): void {
    super.end();
    this.endOffer();
  }

  /** An offer ends with either attempt: the other one is then the only one. */
  private endOffer(): void {
    if (this.offer !== undefined) {
      this.offer.timer?.cancel();
      this.offer = undefined;
      this.releaseDelivery();
    }
  }
}

const logger = new logging.Logger('routing');

/** Callers notice longer pauses within a stream. */
const OFFER_MILLISECONDS = 150;

const LATE_OFFER = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.MayHaveRun,
  'The backend server did not take the stream over in time.',
);
