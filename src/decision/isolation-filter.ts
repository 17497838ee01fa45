import * as candidateFilter from './candidate-filter';

/** Runs suspects at different servers, also those of other daemons, so that a second crash identifies one. */
export class IsolationFilter extends candidateFilter.CandidateFilter {
  override admits({ server, suspect, reserved }: candidateFilter.Pairing): boolean {
    return !suspect || (server.suspects === 0 && !reserved.has(server.record.id));
  }
}
