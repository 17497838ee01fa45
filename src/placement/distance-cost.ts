import * as costRule from './cost-rule';

/** The delay between zones and regions, and the price of traffic between regions. */
export class DistanceCost extends costRule.CostRule {
  override milliseconds(request: costRule.PlacementRequest, candidate: costRule.Candidate): number {
    if (candidate.region !== request.region) {
      return REGION_MILLISECONDS;
    }
    return candidate.zone === request.zone ? 0 : ZONE_MILLISECONDS;
  }
}

/** A round trip between zones takes 1 to 3 ms. */
const ZONE_MILLISECONDS = 3;
/** A round trip between regions takes 16 ms; the rest represents the price of the traffic. */
const REGION_MILLISECONDS = 40;
