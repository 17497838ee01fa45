import * as candidateFilter from './candidate-filter';

/**
 * Admits a suspect only to servers without another suspect of this daemon and outside the partitions of the
 * other daemons. A second crash then shows which request causes crashes.
 */
export class IsolationFilter extends candidateFilter.CandidateFilter {
  override admits({ server, suspect, reserved }: candidateFilter.Pairing): boolean {
    return !suspect || (server.suspectAttempts === 0 && !reserved.has(server.record.id));
  }
}
