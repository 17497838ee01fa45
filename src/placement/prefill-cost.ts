import * as costRule from './cost-rule';

/** The time to process the part of the prompt that is not cached. */
export class PrefillCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
    return delay(uncached, candidate) * candidate.slowdown * PREFILL_WEIGHT;
  }
}

function delay(tokens: number, candidate: costRule.Candidate): number {
  return (tokens / candidate.prefillTokensPerSecond) * 1_000;
}

/**
 * Prefill also delays all requests behind it. At 70% utilization, queueing theory gives a delay of the others
 * of about twice the prefill time, in addition to the delay of this request.
 */
const PREFILL_WEIGHT = 3;
