import * as candidateFilter from './candidate-filter';

/** Keeps suspects apart, also those of different daemons, so that a second crash names one of them. */
export class IsolationFilter extends candidateFilter.CandidateFilter {
  override admits({ server, suspect, reserved }: candidateFilter.Pairing): boolean {
    return !suspect || (server.suspects === 0 && !reserved.has(server.record.id));
  }
}
