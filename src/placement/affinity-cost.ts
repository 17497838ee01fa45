import * as costRule from './cost-rule';

/**
 * The cost of a copy of the prefix outside its homes: it displaces other prefixes, and other daemons will
 * not look for it there. A home that has more than its share of the load loses its advantage.
 */
export class AffinityCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const bound = loadBound(candidate.meanRequests);
    const overloaded = candidate.load.own.requests + candidate.load.others.requests >= bound;
    if (candidate.rank < candidate.homeCount && !overloaded) {
      return 0;
    }
    const pieces = Math.max(0, request.promptTokens - candidate.cachedTokens);
    const copy = (pieces / candidate.prefillTokensPerSecond) * 1_000 * COPY_FRACTION;
    return copy + Math.min(candidate.rank, MAXIMUM_RANK) * RANK_MILLISECONDS;
  }
}

/** The number of requests from which a home has more than its share. */
export function loadBound(meanRequests: number): number {
  return Math.max(MINIMUM_BOUND, meanRequests * LOAD_BOUND);
}

/** A home may have this many times the mean number of requests. */
const LOAD_BOUND = 1.5;
/** Below this many requests a mean is too small to call a server overloaded. */
const MINIMUM_BOUND = 4;
/** The copy displaces another prefix, and daemons that look at the home miss it: one to two rebuilds later. */
const COPY_FRACTION = 1.5;
/** Makes daemons overflow to the same next server. */
const RANK_MILLISECONDS = 20;
const MAXIMUM_RANK = 8;
