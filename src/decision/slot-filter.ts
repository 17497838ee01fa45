import * as admission from '../admission';
import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Admits servers with a free slot by the estimate that includes other daemons. A daemon without any work
 * at a full server may still send one request there, since its share would otherwise never become free.
 */
export class SlotFilter extends candidateFilter.CandidateFilter {
  override admits({ request, server, slots }: candidateFilter.Pairing): boolean {
    const own = server.load.own.requests;
    const total = placement.totalLoad(server.load).requests;
    if (request.lane === admission.Lane.Long) {
      const available = admission.longSlots(slots);
      return server.load.ownLongRequests < available && own < slots && total < available;
    }
    return own < slots && (total < slots || own < OWN_MINIMUM);
  }
}

const OWN_MINIMUM = 1;
