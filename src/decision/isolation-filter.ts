import * as candidateFilter from './candidate-filter';

/** Keeps suspects apart, so that a second crash names one of them. */
export class IsolationFilter extends candidateFilter.CandidateFilter {
  override admits({ server, suspect }: candidateFilter.Pairing): boolean {
    return server.suspects === 0 || !suspect;
  }
}
