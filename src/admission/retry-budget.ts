/** Limit on the retries of all daemons together, for one service. */
export interface RetryLimits {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries that are allowed besides, summed over all daemons. */
  readonly slack: number;
  /** Length of every span in which the limit holds. */
  readonly windowMilliseconds: number;
}

/** Requests and retries of a short span of time. */
interface Span {
  readonly startsAt: number;
  readonly requests: number;
  readonly retries: number;
}

/**
 * The retries of one daemon for one service. Each daemon keeps to the ratio with its own requests, and to its part of
 * the slack: then the sum keeps to the limit for any number of daemons, whether they are connected or not.
 */
export interface RetryBudget {
  readonly limits: RetryLimits;
  /** Number of daemons that share the slack; without it this daemon has no part of the slack. */
  readonly daemons?: number;
  /** Until this monotonic time in milliseconds an earlier process of this daemon may have used its part of the slack. */
  readonly slackFrom: number;
  /** The last spans with requests or retries, oldest first. */
  readonly spans: readonly Span[];
}

/** Limits of a daemon that shares its retries with no other. */
export const DEFAULT_RETRY_LIMITS: RetryLimits = {
  ratio: 0.1,
  slack: 16,
  windowMilliseconds: 10_000,
};

/** The budget of a daemon that shares the slack with `daemons` daemons, itself included. */
export function newRetryBudget(
  limits: RetryLimits,
  daemons: number | undefined,
  slackFrom = Number.NEGATIVE_INFINITY,
): RetryBudget {
  return { limits, daemons, slackFrom, spans: [] };
}

/** Counts a request, which allows a fraction of a retry. */
export function countRequest(budget: RetryBudget, at: number): RetryBudget {
  return change(budget, at, { requests: 1, retries: 0 });
}

/** Counts a retry. Call it only when `retriesLeft` is at least 1. */
export function countRetry(budget: RetryBudget, at: number): RetryBudget {
  return change(budget, at, { requests: 0, retries: 1 });
}

/**
 * Takes back a retry that was counted and not sent.
 *
 * @param at when it was counted: taken back at a later time, it would allow one more after its own window
 */
export function returnRetry(budget: RetryBudget, at: number): RetryBudget {
  return change(budget, at, { requests: 0, retries: -1 });
}

/**
 * The number of retries that this daemon may start now.
 *
 * @param usedFraction fraction of the limit that this kind of retry may use; the rest is left to more urgent ones
 * @example
 * retriesLeft(newRetryBudget({ ratio: 0.2, slack: 40, windowMilliseconds: 10_000 }, 8), at); // 5
 */
export function retriesLeft(budget: RetryBudget, at: number, usedFraction = 1): number {
  const windowStart = windowStartOf(budget, at);
  let retries = 0;
  budget.spans.forEach((span) => {
    // A span at the edge of the window counts with its retries and without its requests.
    retries += span.startsAt + SPAN_MILLISECONDS > windowStart ? span.retries : 0;
  });
  return retryLimit(budget, at) * usedFraction - retries;
}

/** The number of retries that this daemon may start in the window that ends now. */
export function retryLimit(budget: RetryBudget, at: number): number {
  const { limits, daemons, slackFrom, spans } = budget;
  const windowStart = windowStartOf(budget, at);
  let requests = 0;
  spans.forEach((span) => {
    requests += span.startsAt >= windowStart ? span.requests : 0;
  });
  const slack = daemons === undefined || at < slackFrom ? 0 : limits.slack / daemons;
  return limits.ratio * requests + slack;
}

function windowStartOf({ limits }: RetryBudget, at: number): number {
  return at - limits.windowMilliseconds;
}

function change(
  budget: RetryBudget,
  at: number,
  { requests, retries }: Pick<Span, 'requests' | 'retries'>,
): RetryBudget {
  const startsAt = Math.floor(at / SPAN_MILLISECONDS) * SPAN_MILLISECONDS;
  const oldest = at - budget.limits.windowMilliseconds - SPAN_MILLISECONDS;
  const last = budget.spans.at(-1);
  const current = last?.startsAt === startsAt ? last : { startsAt, requests: 0, retries: 0 };
  const earlier = last === current ? budget.spans.slice(0, -1) : budget.spans;
  const kept = (earlier[0]?.startsAt ?? at) < oldest ? earlier.filter(isAfter(oldest)) : earlier;
  const changed = {
    startsAt,
    requests: current.requests + requests,
    retries: current.retries + retries,
  };
  return { ...budget, spans: [...kept, changed] };
}

function isAfter(oldest: number): (span: Span) => boolean {
  return ({ startsAt }) => startsAt >= oldest;
}

/** A twentieth of the usual window. */
const SPAN_MILLISECONDS = 500;
