import * as candidateFilter from './candidate-filter';
import * as runLimit from './run-limit';

/** Admits servers of the service that may get requests, each for one attempt of a request at a time. */
export class EligibleFilter extends candidateFilter.CandidateFilter {
  override admits({ request, server }: candidateFilter.Pairing): boolean {
    return (
      server.eligible &&
      server.record.service === request.profile.service &&
      runLimit.mayRunAt(request, server.record.id) &&
      request.attempts.every((attempt) => attempt.serverId !== server.record.id)
    );
  }
}
