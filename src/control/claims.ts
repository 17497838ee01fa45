import * as immutable from 'immutable';
import * as configuration from '../configuration';
import * as command from './command';
import * as keyTime from './key-time';

/** The claim on one idempotency key. */
export interface Claim {
  readonly attemptId: string;
  readonly fingerprint: string;
  readonly phase: command.ClaimPhase;
  readonly answer?: command.RecordedAnswer;
  /** Time stamp of the log, in milliseconds since the Unix epoch, after which the claim may be removed. */
  readonly expiresAt: number;
}

/** Ids by the hour in which they expire, so that pruning reads only the hours that are due. */
type Expiries = immutable.Map<number, immutable.List<string>>;

/** All claims within the retention period. */
export interface ClaimState {
  /** By `claimId`. */
  readonly claims: immutable.Map<string, Claim>;
  /** Time of expiry of each abandoned attempt, by attempt id. */
  readonly abandoned: immutable.Map<string, number>;
  readonly claimExpiries: Expiries;
  readonly abandonedExpiries: Expiries;
}

export const EMPTY_CLAIMS: ClaimState = {
  claims: immutable.Map(),
  abandoned: immutable.Map(),
  claimExpiries: immutable.Map(),
  abandonedExpiries: immutable.Map(),
};

/** The outcome of one command on claims. */
export interface ClaimOutcome {
  readonly state: ClaimState;
  readonly result: command.CommandResult;
}

/** How long a claim prevents a second execution under its key. */
export const CLAIM_RETENTION_MILLISECONDS = 24 * 3_600_000;

const HOUR_MILLISECONDS = 3_600_000;

/**
 * Grants a key to one attempt. A repeated claim of the same attempt is granted again, that of any other
 * attempt is not.
 */
export function claim(
  state: ClaimState,
  request: command.ClaimCommand,
  timestamp: number,
): ClaimOutcome {
  if (state.abandoned.has(request.attemptId)) {
    return refuse(state, command.ClaimRefusal.AttemptAbandoned);
  }
  const id = claimId(request.team, request.key);
  const existing = state.claims.get(id);
  if (existing !== undefined) {
    return { state, result: resultForHeldKey(existing, request) };
  }
  const createdAt =
    request.keyFormat === configuration.KeyFormat.Opaque ? undefined : keyTime.of(request.key);
  if (createdAt !== undefined && createdAt < timestamp - CLAIM_RETENTION_MILLISECONDS) {
    return refuse(state, command.ClaimRefusal.KeyExpired);
  }
  // A key whose time comes from a clock that is ahead stays valid for longer, so its claim is kept for longer.
  const expiresAt = Math.max(timestamp, createdAt ?? 0) + CLAIM_RETENTION_MILLISECONDS;
  const { attemptId, fingerprint } = request;
  const granted = { attemptId, fingerprint, phase: command.ClaimPhase.Claimed, expiresAt };
  return {
    state: {
      ...state,
      claims: state.claims.set(id, granted),
      claimExpiries: schedule(state.claimExpiries, id, expiresAt),
    },
    result: { kind: command.CommandResultKind.ClaimGranted },
  };
}

/** Marks a claim as executed. Does nothing when another attempt holds the key. */
export function complete(state: ClaimState, request: command.CompleteClaimCommand): ClaimOutcome {
  const id = claimId(request.team, request.key);
  const existing = state.claims.get(id);
  if (existing?.attemptId !== request.attemptId || existing.phase === command.ClaimPhase.Answered) {
    return done(state);
  }
  const isSmall =
    request.answer !== undefined &&
    request.answer.body.length <= command.MAXIMUM_RECORDED_BODY_BYTES;
  const answer = isSmall ? request.answer : undefined;
  const answered = { ...existing, phase: command.ClaimPhase.Answered, answer };
  return done({ ...state, claims: state.claims.set(id, answered) });
}

/** Releases a key whose attempt did not run, and records the attempt so that its late claim is refused. */
export function abandon(
  state: ClaimState,
  request: command.AbandonClaimCommand,
  timestamp: number,
): ClaimOutcome {
  const id = claimId(request.team, request.key);
  const existing = state.claims.get(id);
  const isHolder = existing?.attemptId === request.attemptId;
  if (isHolder && existing.phase === command.ClaimPhase.Answered) {
    return done(state);
  }
  const expiresAt = timestamp + CLAIM_RETENTION_MILLISECONDS;
  return done({
    ...state,
    claims: isHolder ? state.claims.delete(id) : state.claims,
    abandoned: state.abandoned.set(request.attemptId, expiresAt),
    abandonedExpiries: schedule(state.abandonedExpiries, request.attemptId, expiresAt),
  });
}

/** Removes expired claims and attempts. Works in whole hours, so most calls only compare a few numbers. */
export function prune(state: ClaimState, timestamp: number): ClaimState {
  const due = dueHours(state.claimExpiries, timestamp);
  const dueAbandoned = dueHours(state.abandonedExpiries, timestamp);
  if (due.length === 0 && dueAbandoned.length === 0) {
    return state;
  }
  return {
    // An id can be scheduled twice, when its key was released and claimed again: the later time counts.
    claims: dropExpired(
      state.claims,
      state.claimExpiries,
      due,
      (value) => value.expiresAt,
      timestamp,
    ),
    abandoned: dropExpired(
      state.abandoned,
      state.abandonedExpiries,
      dueAbandoned,
      (expiresAt) => expiresAt,
      timestamp,
    ),
    claimExpiries: state.claimExpiries.deleteAll(due),
    abandonedExpiries: state.abandonedExpiries.deleteAll(dueAbandoned),
  };
}

/** Builds the state from its serialised parts. */
export function restore(
  claims: readonly (readonly [string, Claim])[],
  abandoned: readonly (readonly [string, number])[],
): ClaimState {
  return {
    claims: immutable.Map(claims.map(([id, value]): [string, Claim] => [id, value])),
    abandoned: immutable.Map(abandoned.map(([id, value]): [string, number] => [id, value])),
    claimExpiries: claims.reduce<Expiries>(
      (expiries, [id, value]) => schedule(expiries, id, value.expiresAt),
      immutable.Map(),
    ),
    abandonedExpiries: abandoned.reduce<Expiries>(
      (expiries, [id, expiresAt]) => schedule(expiries, id, expiresAt),
      immutable.Map(),
    ),
  };
}

/** Team names contain no slash, so different pairs never have the same id. */
function claimId(team: string, key: string): string {
  return `${team}/${key}`;
}

function resultForHeldKey(existing: Claim, request: command.ClaimCommand): command.CommandResult {
  if (existing.fingerprint !== request.fingerprint) {
    return {
      kind: command.CommandResultKind.ClaimRefused,
      refusal: command.ClaimRefusal.FingerprintDiffers,
    };
  }
  if (existing.attemptId === request.attemptId && existing.phase === command.ClaimPhase.Claimed) {
    return { kind: command.CommandResultKind.ClaimGranted };
  }
  const { phase, attemptId, answer } = existing;
  return { kind: command.CommandResultKind.ClaimHeld, phase, attemptId, answer };
}

function schedule(expiries: Expiries, id: string, expiresAt: number): Expiries {
  // The bucket is removed at the end of its hour, when all its ids have expired.
  const hour = Math.floor(expiresAt / HOUR_MILLISECONDS) + 1;
  return expiries.set(hour, (expiries.get(hour) ?? immutable.List<string>()).push(id));
}

function dueHours(expiries: Expiries, timestamp: number): number[] {
  const hour = Math.floor(timestamp / HOUR_MILLISECONDS);
  return [...expiries.keys()].filter((candidate) => candidate <= hour);
}

function dropExpired<Value>(
  values: immutable.Map<string, Value>,
  expiries: Expiries,
  due: readonly number[],
  expiresAt: (value: Value) => number,
  timestamp: number,
): immutable.Map<string, Value> {
  const ids = due.flatMap((hour) => [...(expiries.get(hour) ?? [])]);
  const expired = ids.filter((id) => {
    const value = values.get(id);
    return value !== undefined && expiresAt(value) < timestamp;
  });
  return values.deleteAll(expired);
}

function refuse(state: ClaimState, refusal: command.ClaimRefusal): ClaimOutcome {
  return { state, result: { kind: command.CommandResultKind.ClaimRefused, refusal } };
}

function done(state: ClaimState): ClaimOutcome {
  return { state, result: { kind: command.CommandResultKind.Done } };
}
