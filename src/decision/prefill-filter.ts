import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Admits servers whose waiting prefill takes no longer than a limit. Beyond it, a request would occupy a slot
 * without progress; in the daemon's queue it can still go to the first server that is free.
 */
export class PrefillFilter extends candidateFilter.CandidateFilter {
  override admits({ server, prefillTokensPerSecond }: candidateFilter.Pairing): boolean {
    const waiting = placement.totalLoad(server.load).prefillTokens;
    return (waiting / prefillTokensPerSecond) * 1_000 <= LIMIT_MILLISECONDS;
  }
}

/** Load reports are 200 to 400 ms old, and the engine must not run out of prompts in that time. */
const LIMIT_MILLISECONDS = 800;
