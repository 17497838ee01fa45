import type * as candidateFilter from './candidate-filter';
import * as eligibleFilter from './eligible-filter';
import * as isolationFilter from './isolation-filter';
import * as limitFilter from './limit-filter';
import * as memoryFilter from './memory-filter';
import * as prefillFilter from './prefill-filter';
import * as roomFilter from './room-filter';
import * as slotFilter from './slot-filter';
import * as weightsFilter from './weights-filter';

/** Filters for the servers that a request may run at. */
export const PERMISSION_FILTERS: readonly candidateFilter.CandidateFilter[] = [
  new eligibleFilter.EligibleFilter(),
  new weightsFilter.WeightsFilter(),
  new isolationFilter.IsolationFilter(),
  new limitFilter.LimitFilter(),
];

/** Filters for the servers among these that have room for the request now. */
export const READINESS_FILTERS: readonly candidateFilter.CandidateFilter[] = [
  new slotFilter.SlotFilter(),
  new prefillFilter.PrefillFilter(),
  new memoryFilter.MemoryFilter(),
  new roomFilter.RoomFilter(),
];
