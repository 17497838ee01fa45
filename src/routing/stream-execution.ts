import * as clock from '../clock';
import * as decision from '../decision';
import * as logging from '../logging';
import * as verdict from '../verdict';
import * as attemptExecution from './attempt-execution';

/** An attempt that may take the stream over. */
interface Offer {
  readonly effect: decision.Dispatch;
  readonly sentAt: number;
  readonly hasDelivered: boolean;
  /** Runs out if the attempt delivers nothing; absent if it may take any time. */
  readonly timer?: clock.Timer;
}

/**
 * An execution whose answer may be a stream that moves to another server while its present run goes on. The pieces of that
 * run are held back for a moment: only then does the other server, which is told the last delivered piece, go on exactly
 * there. If it refuses or is late, the held pieces are delivered and nothing is lost. Where the present run delivers nothing,
 * nothing has to be held back: the offer ends when that run goes on.
 */
export abstract class StreamExecution extends attemptExecution.AttemptExecution {
  private offer: Offer | undefined;

  override cancelAttempt(attemptId: string, reason: decision.CancelReason): void {
    super.cancelAttempt(attemptId, reason);
    this.endOffer();
  }

  /** Call it just before an offer is sent to its server. */
  protected beginOffer(effect: decision.Dispatch): void {
    const sentAt = this.context.time.monotonic();
    const begun = { effect, sentAt, hasDelivered: false };
    if (effect.untimed === true) {
      this.offer = begun;
      return;
    }
    const timer = this.context.time.setTimer(OFFER_MILLISECONDS, () =>
      this.abortAttempt(effect, LATE_OFFER),
    );
    this.offer = { ...begun, timer };
    this.holdDelivery();
  }

  /** Holds the pieces of the running attempt back. */
  protected abstract holdDelivery(): void;

  /** Delivers the pieces that were held back, unless their attempt has ended. */
  protected abstract releaseDelivery(): void;

  /** Call it when an attempt delivers a piece, before the caller gets it: it decides an offer that is open. */
  protected attemptDelivers(attemptId: string): void {
    const { offer } = this;
    if (offer === undefined || offer.hasDelivered) {
      return;
    }
    if (offer.effect.attemptId === attemptId) {
      offer.timer?.cancel();
      this.offer = { ...offer, hasDelivered: true, timer: undefined };
      const milliseconds = Math.round(this.context.time.monotonic() - offer.sentAt);
      logger.information('stream is taken over', { attempt: attemptId, milliseconds });
    } else if (offer.effect.untimed === true) {
      this.abortAttempt(offer.effect, LATE_OFFER);
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
