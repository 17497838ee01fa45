import * as costRule from './cost-rule';

/** The time to process the part of the prompt that is not cached. */
export class PrefillCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
    return (uncached / candidate.prefillTokensPerSecond) * 1_000 * candidate.slowdown;
  }
}
