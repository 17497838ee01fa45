import * as costRule from './cost-rule';

/** The time to process the part of the prompt that is not cached. */
export class PrefillCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
    return delay(uncached, candidate) * candidate.slowdown * WEIGHT;
  }
}

function delay(tokens: number, candidate: costRule.Candidate): number {
  return (tokens / candidate.prefillTokensPerSecond) * 1_000;
}

/**
 * Prefill also delays every request behind it. At 70% utilization, queueing theory gives about twice the
 * work again as delay of others, which a cost of this request alone would leave out.
 */
const WEIGHT = 3;
