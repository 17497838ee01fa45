import * as candidateFilter from './candidate-filter';

/** Admits servers of a service that names a limit of refusals only while they probably have room. */
export class RoomFilter extends candidateFilter.CandidateFilter {
  override admits({ hasRoom }: candidateFilter.Pairing): boolean {
    return hasRoom;
  }
}
