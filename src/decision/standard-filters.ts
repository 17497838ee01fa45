import type * as candidateFilter from './candidate-filter';
import * as eligibleFilter from './eligible-filter';
import * as isolationFilter from './isolation-filter';
import * as slotFilter from './slot-filter';
import * as weightsFilter from './weights-filter';

/** The filters that the daemon uses. */
export const STANDARD_FILTERS: readonly candidateFilter.CandidateFilter[] = [
  new eligibleFilter.EligibleFilter(),
  new weightsFilter.WeightsFilter(),
  new slotFilter.SlotFilter(),
  new isolationFilter.IsolationFilter(),
];
