import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Admits servers whose prompts in prefill take less than a limit. Beyond it, a request would hold a slot
 * without progress, while in the daemon's queue it could still go to whichever server is free first.
 */
export class PrefillFilter extends candidateFilter.CandidateFilter {
  override admits({ server, prefillTokensPerSecond }: candidateFilter.Pairing): boolean {
    const waiting = placement.totalLoad(server.load).prefillTokens;
    return (waiting / prefillTokensPerSecond) * 1_000 <= LIMIT_MILLISECONDS;
  }
}

/** Load reports are 200 to 400 ms old; the engine must not run out of prompts in that time. */
const LIMIT_MILLISECONDS = 800;
