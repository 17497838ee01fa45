import * as admission from '../admission';
import * as placement from '../placement';
import * as candidateFilter from './candidate-filter';

/**
 * Admits servers with a free slot, by an estimate that includes the requests of other daemons. A daemon
 * without requests at a full server may send one there, because the other daemons might otherwise always fill
 * it.
 */
export class SlotFilter extends candidateFilter.CandidateFilter {
  override admits({ request, server, slots }: candidateFilter.Pairing): boolean {
    const own = server.load.own.requests;
    const total = placement.totalLoad(server.load).requests;
    if (request.lane === admission.Lane.Long) {
      const available = admission.longSlots(slots);
      return server.load.ownLongRequests < available && own < slots && total < available;
    }
    return own < slots && (total < slots || own < MINIMUM_OWN_REQUESTS);
  }
}

const MINIMUM_OWN_REQUESTS = 1;
