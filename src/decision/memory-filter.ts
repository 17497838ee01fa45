import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Load pattern: prompts of thousands of tokens fill an engine's memory long before its slots. A request
 * that does not fit would wait inside the engine, which refuses it when it receives an order to load
 * weights. In the daemon's queue the request goes to the first engine with enough memory.
 */
export class MemoryFilter extends candidateFilter.CandidateFilter {
  override admits({ request, server, cacheTokens }: candidateFilter.Pairing): boolean {
    const { requests, memoryTokens = 0 } = placement.totalLoad(server.load);
    const { promptTokens, expectedOutputTokens } = request.profile;
    const needed = memoryTokens + promptTokens + expectedOutputTokens;
    return requests === 0 || needed <= cacheTokens * MEMORY_FRACTION;
  }
}

/** Above 1 because prompts share their first blocks, which the engine holds once. */
const MEMORY_FRACTION = 1.3;
