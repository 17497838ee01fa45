import type * as costRule from './cost-rule';
import * as affinityCost from './affinity-cost';
import * as distanceCost from './distance-cost';
import * as outdatedCost from './outdated-cost';
import * as prefillCost from './prefill-cost';
import * as queueCost from './queue-cost';
import * as suspicionCost from './suspicion-cost';

/** The cost rules of the daemon. */
export const STANDARD_RULES: readonly costRule.CostRule[] = [
  new prefillCost.PrefillCost(),
  new queueCost.QueueCost(),
  new affinityCost.AffinityCost(),
  new distanceCost.DistanceCost(),
  new suspicionCost.SuspicionCost(),
  new outdatedCost.OutdatedCost(),
];
