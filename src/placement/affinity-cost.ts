import * as costRule from './cost-rule';

/**
 * The cost of a copy of the prefix outside its home servers: the copy displaces other prefixes, and other
 * daemons do not send requests there for it. A home with more than its share of the load has this cost too.
 */
export class AffinityCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    const bound = loadBound(candidate.meanRequests);
    const overloaded = candidate.load.own.requests + candidate.load.others.requests >= bound;
    if (candidate.rank < candidate.homeCount && !overloaded) {
      return 0;
    }
    const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
    const copy = (uncached / candidate.prefillTokensPerSecond) * 1_000 * COPY_FRACTION;
    return copy + Math.min(candidate.rank, MAXIMUM_RANK) * RANK_MILLISECONDS;
  }
}

/** The number of requests at which a home server has more than its share of the load. */
export function loadBound(meanRequests: number): number {
  return Math.max(MINIMUM_BOUND_REQUESTS, meanRequests * LOAD_BOUND_FACTOR);
}

/** A home server may have this many times the mean number of requests. */
const LOAD_BOUND_FACTOR = 1.5;
/** With fewer requests than this, no server counts as overloaded, because the mean is too small. */
const MINIMUM_BOUND_REQUESTS = 4;
/**
 * A copy displaces another prefix, and other daemons send the prefix to its home and miss the copy. Both
 * cause one to two further prefills.
 */
const COPY_FRACTION = 1.5;
/** Makes all daemons overflow to the same next server of the rendezvous order. */
const RANK_MILLISECONDS = 20;
const MAXIMUM_RANK = 8;
