import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Load pattern: prompts of thousands of tokens fill an engine's memory long before its slots. A request
 * that does not fit waits in the engine behind others and is refused there when the engine is ordered to
 * load weights; in the daemon's queue it goes to whichever engine has room first.
 */
export class MemoryFilter extends candidateFilter.CandidateFilter {
  override admits({ request, server, cacheTokens }: candidateFilter.Pairing): boolean {
    const { requests, memoryTokens = 0 } = placement.totalLoad(server.load);
    const { promptTokens, expectedOutputTokens } = request.profile;
    const wanted = memoryTokens + promptTokens + expectedOutputTokens;
    return requests === 0 || wanted <= cacheTokens * MEMORY_FRACTION;
  }
}

/** Prompts share their first parts, which the engine holds once. */
const MEMORY_FRACTION = 1.3;
