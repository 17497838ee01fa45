import * as results from 'ts-results';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as control from '../control';
import * as verdict from '../verdict';
import * as claimCommitQueue from './claim-commit-queue';

/** Identifies one attempt at one non-idempotent request. */
export interface ClaimIdentity {
  readonly team: string;
  readonly key: string;
  readonly attemptId: string;
}

export interface ClaimRequest extends ClaimIdentity {
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly keyFormat: configuration.KeyFormat;
}

/**
 * `Ok(undefined)` when the attempt may send its request, `Ok(answer)` when an earlier attempt was
 * answered, `Err` when the request must not be sent.
 */
export type ClaimOutcome = results.Result<
  control.RecordedAnswer | undefined,
  verdict.RequestFailure
>;

/** Claims idempotency keys before the first byte of a request is sent; completes or abandons the claims later. */
export class ClaimManager {
  constructor(
    private readonly plane: control.ControlPlane,
    private readonly commitQueue: claimCommitQueue.ClaimCommitQueue,
    private readonly time: clock.Clock,
  ) {}

  /**
   * Claims a key. A claim that could not be committed is refused, and abandoned in the background,
   * since the log may still commit it later.
   *
   * @example
   * const claimed = await manager.claim({ team, key, attemptId, fingerprint });
   */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const { daemonId } = this.plane.status();
    const proposed = await this.plane.propose(
      { kind: control.CommandKind.Claim, daemonId, ...request },
      CLAIM_TIMEOUT_MILLISECONDS,
    );
    if (proposed.err) {
      this.abandon(request);
      return new results.Err(NO_MAJORITY);
    }
    return outcomeOf(proposed.val);
  }

  /** Records the answer. Waits at most 1 s for the commit, which then continues in the background. */
  async complete(identity: ClaimIdentity, answer: control.RecordedAnswer): Promise<void> {
    const isSmall = answer.body.byteLength <= control.MAXIMUM_RECORDED_BODY_BYTES;
    const committed = this.commitQueue.commit({
      kind: control.CommandKind.CompleteClaim,
      ...identityOf(identity),
      ...(isSmall ? { answer } : {}),
    });
    await Promise.race([committed, this.time.sleep(COMPLETE_WAIT_MILLISECONDS)]);
  }

  /** Releases a key after an attempt that certainly did not run. */
  abandon(identity: ClaimIdentity): void {
    this.commitQueue.commit({ kind: control.CommandKind.AbandonClaim, ...identityOf(identity) });
  }
}

const { FailureReason, Verdict } = verdict;

// The election of a leader takes about 1 s; without a majority a caller should not wait much longer.
const CLAIM_TIMEOUT_MILLISECONDS = 2_000;

// Once the answer is committed, a caller that lost it can get it again from any router. Loss of the
// majority in the meantime must not withhold the answer.
const COMPLETE_WAIT_MILLISECONDS = 1_000;

const NO_MAJORITY = verdict.failure(
  FailureReason.NoMajority,
  Verdict.NotRun,
  'No majority of control replicas is reachable; the request was not sent.',
  { retryAfterMilliseconds: 1_000 },
);

function identityOf(identity: ClaimIdentity): ClaimIdentity {
  const { team, key, attemptId } = identity;
  return { team, key, attemptId };
}

function outcomeOf(result: control.CommandResult): ClaimOutcome {
  switch (result.kind) {
    case control.CommandResultKind.ClaimGranted:
      return new results.Ok(undefined);
    case control.CommandResultKind.ClaimHeld:
      return heldOutcome(result);
    case control.CommandResultKind.ClaimRefused:
      return new results.Err(refusalOf(result.refusal));
    default:
      return new results.Err(UNEXPECTED_RESULT);
  }
}

function heldOutcome(held: control.ClaimHeld): ClaimOutcome {
  if (held.phase === control.ClaimPhase.Claimed) {
    return new results.Err(KEY_IN_USE);
  }
  return held.answer === undefined ? new results.Err(ANSWER_NOT_KEPT) : new results.Ok(held.answer);
}

function refusalOf(refusal: control.ClaimRefusal): verdict.RequestFailure {
  switch (refusal) {
    case control.ClaimRefusal.FingerprintDiffers:
      return KEY_REUSED;
    case control.ClaimRefusal.KeyExpired:
      return KEY_EXPIRED;
    default:
      return ATTEMPT_ABANDONED;
  }
}

const KEY_IN_USE = verdict.failure(
  FailureReason.KeyInUse,
  Verdict.MayHaveRun,
  'Another attempt with this idempotency key may be running or may have run.',
);

const ANSWER_NOT_KEPT = verdict.failure(
  FailureReason.KeyInUse,
  Verdict.Ran,
  'The request with this idempotency key ran; its answer was too large to be kept.',
);

const KEY_REUSED = verdict.failure(
  FailureReason.KeyReused,
  Verdict.NotRun,
  'The idempotency key was used for a different request; this request was not sent.',
);

// The claim of an earlier attempt with this key may have expired, so "not run" could be false.
const KEY_EXPIRED = verdict.failure(
  FailureReason.KeyExpired,
  Verdict.MayHaveRun,
  'The idempotency key is older than the retention period; this request was not sent.',
);

const ATTEMPT_ABANDONED = verdict.failure(
  FailureReason.NoMajority,
  Verdict.NotRun,
  'The claim of the idempotency key was given up; the request was not sent.',
);

const UNEXPECTED_RESULT = verdict.failure(
  FailureReason.Internal,
  Verdict.NotRun,
  'The control state gave an unexpected result; the request was not sent.',
);
