import type * as verdict from '../verdict';
import type * as workload from './workload';

/** Result of one request, with times at the caller. */
export interface Outcome {
  readonly request: workload.BenchRequest;
  firstTokenAt?: number;
  finishedAt?: number;
  failedAt?: number;
  failure?: verdict.RequestFailure;
  attempts: number;
  hedges: number;
}

/** One prefill at an engine. */
export interface PrefillRecord {
  readonly at: number;
  readonly serverId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Uncached tokens that another live engine held. */
  readonly wastedTokens: number;
}

/** All measurements of a run. */
export interface RunResult {
  readonly outcomes: readonly Outcome[];
  readonly prefills: readonly PrefillRecord[];
  /** Bytes of prompts that crossed regions, and all bytes of prompts. */
  readonly regionBytes: number;
  readonly totalBytes: number;
  readonly crashes: number;
  /** Requests in the batch and queue of each engine, sampled ten times a second. */
  readonly loads: readonly LoadSample[];
}

export interface LoadSample {
  readonly at: number;
  readonly requests: readonly number[];
}

/** The value below which a fraction of the values lies; 0 without values. */
export function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

/** Fraction of the prompt tokens that were cached, over all prefills in a time span. */
export function hitRate(result: RunResult, from = 0, to = Infinity): number {
  const chosen = result.prefills.filter((record) => record.at >= from && record.at < to);
  const prompt = chosen.reduce((sum, record) => sum + record.promptTokens, 0);
  const cached = chosen.reduce((sum, record) => sum + record.cachedTokens, 0);
  return prompt === 0 ? 0 : cached / prompt;
}

/** Recomputed tokens that another live engine held, for each prompt token. */
export function wasteRate(result: RunResult, from = 0): number {
  const chosen = result.prefills.filter((record) => record.at >= from);
  const prompt = chosen.reduce((sum, record) => sum + record.promptTokens, 0);
  return chosen.reduce((sum, record) => sum + record.wastedTokens, 0) / Math.max(1, prompt);
}

/** Times to the first token of the requests that arrived in a time span and got one. */
export function firstTokenTimes(
  result: RunResult,
  from = 0,
  to = Infinity,
  accept: (outcome: Outcome) => boolean = () => true,
): number[] {
  return result.outcomes
    .filter(({ request }) => request.at >= from && request.at < to)
    .filter(accept)
    .flatMap(({ request, firstTokenAt }) =>
      firstTokenAt === undefined ? [] : [firstTokenAt - request.at],
    );
}

/** Fraction of the requests after a warm-up that got no first token within the deadline. */
export function lateFraction(
  result: RunResult,
  deadlineMilliseconds: number,
  from: number,
): number {
  const chosen = result.outcomes.filter(({ request }) => request.at >= from);
  const inTime = chosen.filter((outcome) => isInTime(outcome, deadlineMilliseconds));
  return 1 - inTime.length / Math.max(1, chosen.length);
}

export function isInTime(outcome: Outcome, deadlineMilliseconds: number): boolean {
  return (outcome.firstTokenAt ?? Infinity) - outcome.request.at <= deadlineMilliseconds;
}

/** Fraction of the requests that had a hedge. */
export function hedgedFraction(result: RunResult): number {
  return result.outcomes.filter((outcome) => outcome.hedges > 0).length / result.outcomes.length;
}
