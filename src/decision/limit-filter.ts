import * as candidateFilter from './candidate-filter';

/** Admits a request to a server that has named a limit only when this daemon has a turn there. */
export class LimitFilter extends candidateFilter.CandidateFilter {
  override admits({ throttled }: candidateFilter.Pairing): boolean {
    return !throttled;
  }
}
